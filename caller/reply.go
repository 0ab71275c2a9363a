package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// maxQuotedBytes limits how much of a request header an error text quotes.
const maxQuotedBytes = 100

func replyFormat(ctx iris.Context) wire.Format {
	return wire.NegotiateFormat(ctx.GetHeader("Accept"))
}

// reply writes an answer in the format that the caller prefers.
func (s *Server) reply(ctx iris.Context, status int, answer magnoliashore.Answer) {
	format := replyFormat(ctx)
	data, err := wire.EncodeAnswer(format, answer)
	if err != nil {
		s.encodingFailed(ctx, format, answer, err)
		return
	}
	if status == http.StatusServiceUnavailable {
		ctx.Header("Retry-After", retryAfter(answer.RetryAfter()))
	}
	writeReply(ctx, status, format, data)
}

// encodingFailed replies with status 500 in place of an answer that cannot be
// encoded.
func (s *Server) encodingFailed(ctx iris.Context, format wire.Format, answer magnoliashore.Answer, cause error) {
	if s.Log != nil {
		s.Log.WithError(cause).WithField("query", string(answer.Query())).Error("answer cannot be encoded")
	}
	data, err := wire.EncodeAnswer(format, magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:   answer.Query(),
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  magnoliashore.ReasonFault,
		Detail:  "the answer could not be encoded",
		Host:    answer.Host(),
	}))
	if err != nil {
		ctx.StatusCode(http.StatusInternalServerError)
		return
	}
	writeReply(ctx, http.StatusInternalServerError, format, data)
}

func writeReply(ctx iris.Context, status int, format wire.Format, data []byte) {
	ctx.Header("Content-Type", format.ContentType())
	ctx.Header("Content-Length", strconv.Itoa(len(data)))
	ctx.StatusCode(status)
	// A failed write means that the caller has disconnected.
	_, _ = ctx.Write(data)
}

func rejectTooLarge(limit int) *rejection {
	return reject(http.StatusRequestEntityTooLarge, magnoliashore.ReasonRequest,
		fmt.Sprintf("body: too large; allowed are at most %d bytes", limit))
}

// retryAfter formats a delay for the Retry-After header: whole seconds, rounded
// up, at least one.
func retryAfter(delay time.Duration) string {
	seconds := (delay + time.Second - 1) / time.Second
	return strconv.FormatInt(max(1, int64(seconds)), 10)
}

// quotePrefix quotes the first maxQuotedBytes of text.
func quotePrefix(text string) string {
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}
