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

// maxQuoted bounds how much of a header is repeated to the caller.
const maxQuoted = 100 // bytes

func replyFormat(ctx iris.Context) wire.Format {
	return wire.NegotiateFormat(ctx.GetHeader("Accept"))
}

// reply writes an answer in the format that the caller accepts.
func (s *Server) reply(ctx iris.Context, status int, answer magnoliashore.Answer) {
	format := replyFormat(ctx)
	data, err := wire.EncodeAnswer(format, answer)
	if err != nil {
		s.unwritable(ctx, format, answer, err)
		return
	}
	if status == http.StatusServiceUnavailable {
		ctx.Header("Retry-After", retryAfter(answer.After()))
	}
	write(ctx, status, format, data)
}

// unwritable replies that an answer exists whose content cannot be encoded.
func (s *Server) unwritable(ctx iris.Context, format wire.Format, answer magnoliashore.Answer, cause error) {
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
	write(ctx, http.StatusInternalServerError, format, data)
}

func write(ctx iris.Context, status int, format wire.Format, data []byte) {
	ctx.Header("Content-Type", format.ContentType())
	ctx.Header("Content-Length", strconv.Itoa(len(data)))
	ctx.StatusCode(status)
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = ctx.Write(data)
}

func tooLarge(limit int) *rejection {
	return reject(http.StatusRequestEntityTooLarge, magnoliashore.ReasonRequest,
		fmt.Sprintf("body: too large; allowed are at most %d bytes", limit))
}

// retryAfter returns whole seconds, rounded up, at least one.
func retryAfter(after time.Duration) string {
	seconds := (after + time.Second - 1) / time.Second
	return strconv.FormatInt(max(1, int64(seconds)), 10)
}

func quoted(text string) string {
	return strconv.Quote(text[:min(len(text), maxQuoted)])
}
