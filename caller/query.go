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

// rejection is a request that is answered without a query.
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

func (s *Server) query(ctx iris.Context) {
	query, refused := s.readQuery(ctx)
	if refused != nil {
		s.reply(ctx, refused.status, magnoliashore.NewAnswer(refused.answer))
		return
	}
	answer := s.Engine.Query(ctx.Request().Context(), query)
	s.reply(ctx, status(answer), answer)
}

func (s *Server) readQuery(ctx iris.Context) (magnoliashore.Query, *rejection) {
	format, refused := requestFormat(ctx.Request())
	if refused != nil {
		return magnoliashore.Query{}, refused
	}
	data, refused := s.readBody(ctx.Request())
	if refused != nil {
		return magnoliashore.Query{}, refused
	}
	query, err := wire.DecodeQuery(format, data, s.Clock.Now())
	if err == nil {
		return query, nil
	}
	refused = reject(http.StatusBadRequest, requestReason(err), err.Error())
	refused.answer.Query = query.ID()
	return query, refused
}

func requestFormat(r *http.Request) (wire.Format, *rejection) {
	kind := r.Header.Get("Content-Type")
	format, ok := wire.ParseContentType(kind)
	if !ok {
		return format, reject(http.StatusUnsupportedMediaType, magnoliashore.ReasonRequest,
			"Content-Type: "+quoted(kind)+" is not allowed; allowed are application/json and application/cbor")
	}
	encoding := r.Header.Get("Content-Encoding")
	if encoding != "" && !strings.EqualFold(encoding, "identity") {
		return format, reject(http.StatusUnsupportedMediaType, magnoliashore.ReasonRequest,
			"Content-Encoding: "+quoted(encoding)+" is not allowed; allowed is none")
	}
	return format, nil
}

func (s *Server) readBody(r *http.Request) ([]byte, *rejection) {
	limit := s.MaxBodyBytes
	if limit == 0 {
		limit = defaultLimit
	}
	if r.ContentLength > int64(limit) {
		return nil, tooLarge(limit)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, reject(http.StatusBadRequest, magnoliashore.ReasonRequest, "body: "+err.Error())
	}
	if len(data) > limit {
		return nil, tooLarge(limit)
	}
	return data, nil
}

func requestReason(err error) magnoliashore.Reason {
	var wrong *wire.RequestError
	if errors.As(err, &wrong) {
		return wrong.Reason()
	}
	return magnoliashore.ReasonRequest
}

// status returns the HTTP status of an answer of the engine.
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
