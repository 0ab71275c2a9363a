package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/tcp"
)

const (
	// Hosts that are tried for one request. It goes on from one that certainly has not
	// run it.
	maxFellows = 3
	// Requests of other hosts that a host runs at once, per core. They take processor
	// time that its own callers need.
	forwardedPerCore = 64
)

// errNoAnswer means that the time for an answer of another host is over.
var errNoAnswer = errors.New("the other host has not answered in time")

// Reasons not to take on a request of another host.
var (
	errBusy       = errors.New("this host runs too many requests of others")
	errCutOff     = errors.New("this host is cut off from the targets as well")
	errNoRoute    = errors.New("no route is known for it")
	errIsStopping = errors.New("this host is about to stop")
)

// forwardedRequests returns how many requests of other hosts a host runs at once.
func forwardedRequests(self membership.Member) int { return max(1, int(forwardedPerCore*cores(self))) }

// forward has another host answer a request, since this host does not reach the targets
// for it. It is sent to one host only, unless that has certainly not run it.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, route *catalog.Route, q *query) {
	if q.request.Stream != nil || r.Method == http.MethodHead {
		h.refuse(w, r, retryAfterLong, "this host is cut off from the targets, and such a request cannot be passed on")
		return
	}
	ctx, end := context.WithDeadline(r.Context(), q.streamUntil)
	defer end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(h.stop.ending, func() { cancel(errStops) })()
	fellows := h.Engine.Hosts.Fellows()
	reason := "this host is cut off from the targets, and no other host takes the request on"
	q.setStage(waitsForHost)
	q.sending.Store(true)
	for _, peer := range fellows[:min(len(fellows), maxFellows)] {
		overdue := h.Engine.Timer.Call(h.Engine.timeUntil(q.received.Add(q.params.Timeout+answerMargin/2)), func() { cancel(errNoAnswer) })
		resp, err := h.Forwarder.Forward(ctx, peer, h.forwardedRequest(q))
		overdue.Stop()
		if r.Context().Err() != nil {
			closeBody(resp)
			h.Engine.Metrics.abandoned.Inc()
			return
		}
		if err == nil {
			h.Engine.Hosts.RecordHelp(peer, true)
			h.Engine.Metrics.forwarded.Inc()
			h.passOn(w, r, route, q, peer, resp)
			return
		}
		h.logForward(r, route, q, peer).WithError(err).Info("request not passed on")
		if !errors.IsAny(err, relay.ErrNotSent, relay.ErrRefused) {
			h.Engine.Hosts.RecordHelp(peer, false)
			h.Engine.Metrics.forwardedFailed.Inc()
			writeFailure(w, failureStatus(ctx), 0)
			return
		}
		if errors.Is(err, relay.ErrNotSent) && !tcp.Exhausted(err) {
			h.Engine.Hosts.RecordHelp(peer, false)
		}
		reason = err.Error()
	}
	h.refuse(w, r, h.limitRetryAfter(q, retryAfterLong), reason)
}

// failureStatus returns the status for a request that another host may have run.
func failureStatus(ctx context.Context) int {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStops) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func closeBody(resp *http.Response) {
	if resp != nil {
		_ = resp.Body.Close()
	}
}

// forwardedRequest returns a query as another host is to run it.
func (h *Handler) forwardedRequest(q *query) relay.ForwardedRequest {
	now := h.Engine.Timer.Now()
	f := relay.ForwardedRequest{
		Method: q.request.Method, URI: q.request.URI, Host: q.request.Host, Header: q.request.Header, Body: q.request.Body,
		Elapsed: now.Sub(q.received),
	}
	if h.Dialect.Caller(q.request.Header).Timeout > 0 {
		f.Timeout = max(q.deadline.Sub(now), time.Millisecond)
	}
	return f
}

// passOn writes the answer of another host as it is, unless it is a refusal that may be
// that of a target.
func (h *Handler) passOn(w http.ResponseWriter, r *http.Request, route *catalog.Route, q *query, peer string, resp *http.Response) {
	defer closeBody(resp)
	if t := h.Engine.View().Target(relay.TakeLeaving(resp.Header)); t != nil && h.Engine.Pool.OnLeaving != nil {
		h.Engine.Pool.OnLeaving(t) // its answer is passed on by this host as well
	}
	if relay.IsOwnRefusal(resp) {
		h.logForward(r, route, q, peer).WithField("outcome", strconv.Itoa(resp.StatusCode)).Info("request passed on, and refused there")
		w.Header()["Retry-After"] = resp.Header["Retry-After"]
		writeFailure(w, resp.StatusCode, 0)
		return
	}
	status, ok := writeHead(w, resp.StatusCode, resp.Header, max(resp.ContentLength, unknownLength))
	var err error
	if ok {
		_, err = io.Copy(w, resp.Body)
	}
	h.logForward(r, route, q, peer).WithField("outcome", strconv.Itoa(status)).WithField("status", resp.StatusCode).Info("request passed on")
	if err == nil {
		return
	}
	if r.Context().Err() == nil {
		h.logWith(r, "error", err.Error()).Info("the answer of another host broke off; closing the caller's connection")
	}
	panic(http.ErrAbortHandler) // aborts the response, so that the caller sees that it is incomplete
}

func (h *Handler) logForward(r *http.Request, route *catalog.Route, q *query, peer string) log.Interface {
	return h.Log.WithFields(log.Fields{
		"request": h.Dialect.Caller(r.Header).ID, "route": route.Name(), "peer": peer,
		"took": h.Engine.Timer.Now().Sub(q.received).Round(100 * time.Microsecond).String(),
	})
}

// ServeForwarded runs a request that another host has passed on, elapsed after that
// host received it and with timeout left of the caller's, or zero if the caller sets
// none. It returns an error if it does not take the request on.
func (h *Handler) ServeForwarded(w http.ResponseWriter, r *http.Request, timeout, elapsed time.Duration) error {
	view := h.Engine.View()
	var route *catalog.Route
	if view.Config() != nil {
		route = view.Config().Route(r.Host, path(r))
	}
	var err error
	switch {
	case route == nil:
		err = errNoRoute // the other host may know a later configuration
	case started(h.stop.refusing):
		err = errIsStopping
	default:
		err = h.serveForwarded(w, r, route, timeout, elapsed)
	}
	if err != nil {
		h.Engine.Metrics.helpRefused.Inc()
	}
	return err
}

func (h *Handler) serveForwarded(w http.ResponseWriter, r *http.Request, route *catalog.Route, timeout, elapsed time.Duration) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return errors.Wrap(err, "reading the body")
	}
	q := h.newQuery(r, route, h.Engine.Timer.Now(), body)
	q.forwarded = true
	q.shorten(timeout, elapsed)
	if h.Engine.lacksTargets(q) {
		return errCutOff
	}
	select {
	case h.forwarded <- struct{}{}:
	default:
		return errBusy
	}
	defer func() { <-h.forwarded }()
	h.Engine.Metrics.helped.Inc()
	h.Engine.inFlight.add(q)
	defer h.Engine.inFlight.remove(q)
	h.serve(w, r, route, q)
	return nil
}

// shorten takes off the time that another host has spent on the query before this one.
// timeout is what is left of the caller's; zero if it sets none.
func (q *query) shorten(timeout, elapsed time.Duration) {
	if timeout > 0 {
		q.deadline, q.streamUntil = q.received.Add(timeout), q.received.Add(timeout)
		q.params.Timeout = min(q.params.Timeout, max(timeout-answerMargin, timeout/2))
	}
	q.params.Timeout = max(q.params.Timeout-elapsed, time.Millisecond)
	if q.params.PartialAfter > 0 {
		q.params.PartialAfter = max(q.params.PartialAfter-elapsed, time.Millisecond)
	}
}
