package caller

import (
	"io"
	stdlog "log"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// newHandler returns a handler with the routes of the API.
func (s *Server) newHandler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetOutput(io.Discard)
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	app.UseRouter(s.recoverPanic, s.addLeavingHeader)
	app.Post(wire.PathQuery, s.handleQuery)
	app.Get(wire.PathEntries, s.handleEntries)
	app.Get(wire.PathHealth, s.handleHealth)
	app.Get(wire.PathReady, s.handleReady)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// recoverPanic answers a panicking request with an internal error, so that other
// requests continue.
func (s *Server) recoverPanic(ctx iris.Context) {
	defer func() {
		if fault := recover(); fault != nil {
			s.internalError(ctx, fault)
		}
	}()
	ctx.Next()
}

// internalError logs a panic or an unexpected error and replies with status 500.
func (s *Server) internalError(ctx iris.Context, fault any) {
	if s.Log != nil {
		s.Log.WithField("path", ctx.Path()).WithField("fault", fault).Error("handler panicked")
	}
	s.reply(ctx, http.StatusInternalServerError, magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  magnoliashore.ReasonFault,
		Detail:  "an internal error ended the request",
	}))
}

// addLeavingHeader marks every reply of a leaving host, which tells callers to
// fetch the addresses of entry hosts again.
func (s *Server) addLeavingHeader(ctx iris.Context) {
	if s.Engine.Leaving() {
		ctx.Header(wire.HeaderLeaving, "1")
	}
	ctx.Next()
}

func (s *Server) handleEntries(ctx iris.Context) {
	zone := magnoliashore.ZoneName(ctx.URLParam(wire.ParamZone))
	format := replyFormat(ctx)
	data, err := wire.EncodeEntries(format, s.Engine.Entries(zone))
	if err != nil {
		s.internalError(ctx, err)
		return
	}
	writeReply(ctx, http.StatusOK, format, data)
}

func (s *Server) handleHealth(ctx iris.Context) { ctx.StatusCode(http.StatusOK) }

func (s *Server) handleReady(ctx iris.Context) {
	if !s.Engine.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx.StatusCode(http.StatusOK)
}

// newDiscardLogger returns a logger that drops the messages of net/http about
// broken connections of callers.
func newDiscardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
