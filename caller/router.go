package caller

import (
	"io"
	stdlog "log"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// handler returns the routes of the API.
func (s *Server) handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetOutput(io.Discard)
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	app.UseRouter(s.guard, s.leaving)
	app.Post(wire.PathQuery, s.query)
	app.Get(wire.PathEntries, s.entries)
	app.Get(wire.PathHealth, s.health)
	app.Get(wire.PathReady, s.ready)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// guard turns a panic into an answer, so that it ends one request only.
func (s *Server) guard(ctx iris.Context) {
	defer func() {
		if fault := recover(); fault != nil {
			s.fault(ctx, fault)
		}
	}()
	ctx.Next()
}

func (s *Server) fault(ctx iris.Context, fault any) {
	if s.Log != nil {
		s.Log.WithField("path", ctx.Path()).WithField("fault", fault).Error("handler panicked")
	}
	s.reply(ctx, http.StatusInternalServerError, magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  magnoliashore.ReasonFault,
		Detail:  "an internal error ended the request",
	}))
}

// leaving tells callers to ask for addresses again.
func (s *Server) leaving(ctx iris.Context) {
	if s.Engine.Leaving() {
		ctx.Header(wire.HeaderLeaving, "1")
	}
	ctx.Next()
}

func (s *Server) entries(ctx iris.Context) {
	zone := magnoliashore.ZoneName(ctx.URLParam(wire.ParamZone))
	format := replyFormat(ctx)
	data, err := wire.EncodeEntries(format, s.Engine.Entries(zone))
	if err != nil {
		s.fault(ctx, err)
		return
	}
	write(ctx, http.StatusOK, format, data)
}

func (s *Server) health(ctx iris.Context) { ctx.StatusCode(http.StatusOK) }

func (s *Server) ready(ctx iris.Context) {
	if !s.Engine.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx.StatusCode(http.StatusOK)
}

// quietLog drops what net/http says of broken connections of callers.
func quietLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
