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
	drainLimit = 4 << 10 // bytes of a body that is read to keep a connection
	waitLimit  = time.Minute
)

// reasons maps the values of the Refused header.
var reasons = map[string]magnoliashore.Reason{
	refusedShed:     magnoliashore.ReasonShed,
	refusedCold:     magnoliashore.ReasonCold,
	refusedDrain:    magnoliashore.ReasonLeaving,
	refusedDeadline: magnoliashore.ReasonDeadline,
	refusedSnapshot: magnoliashore.ReasonSnapshot,
}

// reply returns the answer that a reply gives.
func (x *exchange) reply(ctx context.Context, resp *http.Response) magnoliashore.SubAnswer {
	if refused, ok := resp.Header[headerRefused]; ok {
		return x.refusal(resp, refused)
	}
	if resp.StatusCode != http.StatusOK {
		x.drain(resp)
		return magnoliashore.Lose(x.sub, magnoliashore.ReasonInvalid)
	}
	if reason := x.check(resp); reason != magnoliashore.ReasonNone {
		return x.spoiled(reason)
	}
	data := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, data); err != nil {
		defer x.letGo()
		return x.spoiled(x.cut(ctx, err))
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
// names another request, or an unknown value, proves nothing.
func (x *exchange) refusal(resp *http.Response, refused []string) magnoliashore.SubAnswer {
	reason, ok := reasons[refused[0]]
	if !ok || len(refused) > 1 || x.crossed(resp) {
		return x.spoiled(magnoliashore.ReasonInvalid)
	}
	x.drain(resp)
	return magnoliashore.Refuse(x.sub, reason, wait(resp))
}

// crossed reports whether the reply names another request.
func (x *exchange) crossed(resp *http.Response) bool {
	echo := resp.Header.Get(headerRequest)
	return echo != "" && echo != strconv.FormatUint(x.sub.ID(), 10)
}

// wait returns the time to come back; zero if the reply has none.
func wait(resp *http.Response) time.Duration {
	ms, err := strconv.ParseInt(resp.Header.Get(headerWait), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	if ms > int64(waitLimit/time.Millisecond) {
		return waitLimit
	}
	return time.Duration(ms) * time.Millisecond
}

// check returns what is wrong with the headers of a 200, ReasonNone if nothing.
func (x *exchange) check(resp *http.Response) magnoliashore.Reason {
	if resp.Header.Get(headerRequest) != strconv.FormatUint(x.sub.ID(), 10) {
		return magnoliashore.ReasonInvalid
	}
	if resp.Header.Get(headerPartition) != string(x.sub.Partition()) {
		return magnoliashore.ReasonInvalid
	}
	if resp.Header.Get(headerSnapshot) != strconv.FormatUint(uint64(x.sub.Snapshot()), 10) {
		return magnoliashore.ReasonSnapshot
	}
	if resp.ContentLength < 0 || resp.ContentLength > x.pool.limit() {
		return magnoliashore.ReasonInvalid
	}
	return magnoliashore.ReasonNone
}

// cut returns why a body is not whole.
func (x *exchange) cut(ctx context.Context, err error) magnoliashore.Reason {
	if given(ctx) == magnoliashore.ReasonNone && errors.Is(err, io.ErrUnexpectedEOF) {
		return magnoliashore.ReasonInvalid
	}
	return x.lost(ctx)
}

// spoiled returns the answer to a broken reply, after closing its connection.
func (x *exchange) spoiled(reason magnoliashore.Reason) magnoliashore.SubAnswer {
	if c, _, _ := x.attempt.state(); c != nil {
		c.spoil(x.attempt)
	}
	return magnoliashore.Lose(x.sub, reason)
}

// drain reads a short body to its end, so that the connection can be kept.
func (x *exchange) drain(resp *http.Response) {
	if resp.ContentLength < 0 || resp.ContentLength > drainLimit {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, drainLimit)
}
