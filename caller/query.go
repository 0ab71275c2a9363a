package caller

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// rejection is the reply to a request that never reaches the engine.
type rejection struct {
	status int
	answer magnoliashore.AnswerSpec
}

func reject(status int, reason magnoliashore.Reason, detail string) *rejection {
	return &rejection{status: status, answer: magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeNotRun,
		Reason:  reason,
		Detail:  detail,
	}}
}

func (s *Server) handleQuery(ctx iris.Context) {
	query, rejected := s.readQuery(ctx)
	if rejected != nil {
		s.reply(ctx, rejected.status, magnoliashore.NewAnswer(rejected.answer))
		return
	}
	answer := s.Engine.Query(ctx.Request().Context(), query)
	s.reply(ctx, status(answer), answer)
}

func (s *Server) readQuery(ctx iris.Context) (magnoliashore.Query, *rejection) {
	format, rejected := requestFormat(ctx.Request())
	if rejected != nil {
		return magnoliashore.Query{}, rejected
	}
	data, rejected := s.readBody(ctx.Request())
	if rejected != nil {
		return magnoliashore.Query{}, rejected
	}
	query, err := wire.DecodeQuery(format, data, s.Clock.Now())
	if err == nil {
		return query, nil
	}
	rejected = reject(http.StatusBadRequest, rejectionReason(err), err.Error())
	rejected.answer.Query = query.ID()
	return query, rejected
}

func requestFormat(r *http.Request) (wire.Format, *rejection) {
	contentType := r.Header.Get("Content-Type")
	format, ok := wire.ParseContentType(contentType)
	if !ok {
		return format, reject(http.StatusUnsupportedMediaType, magnoliashore.ReasonRequest,
			"Content-Type: "+quotePrefix(contentType)+" is not allowed; allowed are application/json and application/cbor")
	}
	encoding := r.Header.Get("Content-Encoding")
	if encoding != "" && !strings.EqualFold(encoding, "identity") {
		return format, reject(http.StatusUnsupportedMediaType, magnoliashore.ReasonRequest,
			"Content-Encoding: "+quotePrefix(encoding)+" is not allowed; allowed is none")
	}
	return format, nil
}

func (s *Server) readBody(r *http.Request) ([]byte, *rejection) {
	limit := s.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return nil, rejectTooLarge(limit)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, reject(http.StatusBadRequest, magnoliashore.ReasonRequest, "body: "+err.Error())
	}
	if len(data) > limit {
		return nil, rejectTooLarge(limit)
	}
	return data, nil
}

func rejectionReason(err error) magnoliashore.Reason {
	var requestErr *wire.RequestError
	if errors.As(err, &requestErr) {
		return requestErr.Reason()
	}
	return magnoliashore.ReasonRequest
}

// status returns the HTTP status for an answer of the engine.
func status(answer magnoliashore.Answer) int {
	switch answer.Outcome() {
	case magnoliashore.OutcomeRan:
		return http.StatusOK
	case magnoliashore.OutcomeNotRun:
		return statusNotRun(answer.Reason())
	default:
		return http.StatusGatewayTimeout
	}
}

func statusNotRun(reason magnoliashore.Reason) int {
	if reason == magnoliashore.ReasonRequest || reason == magnoliashore.ReasonTicket {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
