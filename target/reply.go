package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// The values of the Refused header.
const (
	refusedShed     = "shed"
	refusedCold     = "cold"
	refusedDrain    = "drain"
	refusedDeadline = "deadline"
	refusedSnapshot = "snapshot"
)

const stateCold = "cold"

const (
	maxDrainBody  = 4 << 10 // bytes of a body that are read so that the connection can be reused
	maxRetryAfter = time.Minute
)

// reasons maps the values of the Refused header to refusal reasons.
var reasons = map[string]magnoliashore.Reason{
	refusedShed:     magnoliashore.ReasonShed,
	refusedCold:     magnoliashore.ReasonCold,
	refusedDrain:    magnoliashore.ReasonLeaving,
	refusedDeadline: magnoliashore.ReasonDeadline,
	refusedSnapshot: magnoliashore.ReasonSnapshot,
}

// reply converts a reply to an answer.
func (x *exchange) reply(ctx context.Context, resp *http.Response) magnoliashore.SubAnswer {
	if refused, ok := resp.Header[headerRefused]; ok {
		return x.refusal(resp, refused)
	}
	if resp.StatusCode != http.StatusOK {
		x.drain(resp)
		return magnoliashore.Lose(x.sub, magnoliashore.ReasonInvalid)
	}
	if reason := x.checkHeaders(resp); reason != magnoliashore.ReasonNone {
		return x.invalidReply(reason)
	}
	data := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, data); err != nil {
		defer x.closeAndWait()
		return x.invalidReply(x.truncationReason(ctx, err))
	}
	return magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
		ID:        x.sub.ID(),
		Partition: x.sub.Partition(),
		Target:    x.sub.Target(),
		Snapshot:  x.sub.Snapshot(),
		Outcome:   magnoliashore.OutcomeRan,
		Body:      data,
	})
}

// refusal returns the answer to a reply with a Refused header. A reply that
// names another request or has an unknown value does not prove that the
// request did not run.
func (x *exchange) refusal(resp *http.Response, refused []string) magnoliashore.SubAnswer {
	reason, ok := reasons[refused[0]]
	if !ok || len(refused) > 1 || x.otherRequest(resp) {
		return x.invalidReply(magnoliashore.ReasonInvalid)
	}
	x.drain(resp)
	return magnoliashore.Refuse(x.sub, reason, retryAfter(resp))
}

// otherRequest reports whether the reply names another request.
func (x *exchange) otherRequest(resp *http.Response) bool {
	echo := resp.Header.Get(headerRequest)
	return echo != "" && echo != strconv.FormatUint(x.sub.ID(), 10)
}

// retryAfter returns the time to wait before a retry, at most maxRetryAfter;
// zero if the reply states none.
func retryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.ParseInt(resp.Header.Get(headerWait), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	if ms > int64(maxRetryAfter/time.Millisecond) {
		return maxRetryAfter
	}
	return time.Duration(ms) * time.Millisecond
}

// checkHeaders returns why the headers of a 200 reply are invalid; ReasonNone
// if they are valid.
func (x *exchange) checkHeaders(resp *http.Response) magnoliashore.Reason {
	if resp.Header.Get(headerRequest) != strconv.FormatUint(x.sub.ID(), 10) {
		return magnoliashore.ReasonInvalid
	}
	if resp.Header.Get(headerPartition) != string(x.sub.Partition()) {
		return magnoliashore.ReasonInvalid
	}
	if resp.Header.Get(headerSnapshot) != strconv.FormatUint(uint64(x.sub.Snapshot()), 10) {
		return magnoliashore.ReasonSnapshot
	}
	if resp.ContentLength < 0 || resp.ContentLength > x.pool.maxReply() {
		return magnoliashore.ReasonInvalid
	}
	return magnoliashore.ReasonNone
}

// truncationReason returns why a body is incomplete.
func (x *exchange) truncationReason(ctx context.Context, err error) magnoliashore.Reason {
	if endReason(ctx) == magnoliashore.ReasonNone && errors.Is(err, io.ErrUnexpectedEOF) {
		return magnoliashore.ReasonInvalid
	}
	return x.lossReason(ctx)
}

// invalidReply discards the connection after an invalid reply and returns the
// answer.
func (x *exchange) invalidReply(reason magnoliashore.Reason) magnoliashore.SubAnswer {
	if c, _, _ := x.attempt.state(); c != nil {
		c.discard(x.attempt)
	}
	return magnoliashore.Lose(x.sub, reason)
}

// drain reads a short body to its end, so that the connection can be reused.
func (x *exchange) drain(resp *http.Response) {
	if resp.ContentLength < 0 || resp.ContentLength > maxDrainBody {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBody)
}
