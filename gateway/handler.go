package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/suspect"
)

const (
	// Retry-after of a refusal whose reason should pass soon.
	retryAfterShort = 50 * time.Millisecond
	// Retry-after while the configuration or targets are missing.
	retryAfterLong = 500 * time.Millisecond
)

// Handler serves the requests of callers.
type Handler struct {
	Engine   *Engine
	Dialect  magnoliashore.Dialect
	Splitter *balance.Splitter
	Log      log.Interface
	DataAge  func() time.Duration // time since the last data from the store

	Forwarder *relay.Forwarder

	gates     *gates
	stop      *stop
	forwarded chan struct{} // holds one element per request of another host that runs
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if started(h.stop.stopping) {
		w.Header().Set("Connection", "close")
	}
	view := h.Engine.View()
	if view.Config() == nil {
		h.refuse(w, r, retryAfterLong, "no configuration is known yet")
		return
	}
	route := view.Config().Route(r.Host, path(r))
	if route == nil {
		h.Engine.Metrics.unrouted.Inc()
		h.logWith(r, "version", uint64(view.Config().Version())).Info("no route for the request")
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	if started(h.stop.refusing) {
		h.refuse(w, r, retryAfterShort, errIsStopping.Error())
		return
	}
	received := h.Engine.Timer.Now()
	body, stream, ok := h.readBody(w, r, view.Config().Limits(), route.Scatters())
	if !ok {
		return
	}
	q := h.newQuery(r, route, received, body)
	if stream != nil {
		q.request.Stream = stream
		q.params.AtMostOnce = true
	}
	h.Engine.inFlight.add(q)
	defer h.Engine.inFlight.remove(q)
	if h.Engine.lacksTargets(q) {
		h.forward(w, r, route, q)
	} else {
		h.serve(w, r, route, q)
	}
	if stream != nil && !stream.AtEOF() {
		h.drainBody(w, r, stream)
	}
}

// serve runs the request and writes its answer.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, route *catalog.Route, q *query) {
	if !h.enoughTargets(q) {
		// Targets need longer to recover than a queue needs to empty.
		maxRetryAfter := time.Duration(maxRetryAfterShare * float64(q.params.Timeout))
		h.refuse(w, r, max(retryAfterShort, min(retryAfterLong, maxRetryAfter)), "too few shards have a target")
		return
	}
	ruling := h.Engine.rule(q)
	if ruling.Verdict == suspect.Refused {
		h.refuse(w, r, ruling.After, fmt.Sprintf("%d targets have ended under this request, digest %s", ruling.Ends, q.digest(h.Dialect)))
		return
	}
	q.suspected, q.trial = ruling.Verdict == suspect.Suspect, ruling.Trial
	if q.trial {
		defer h.Engine.endTrialUnlessSent(q)
	}
	if delay := h.Engine.limitDelay(q); delay > 0 {
		h.refuse(w, r, h.limitRetryAfter(q, delay), "too few services have a target below the limit that it names")
		return
	}
	admitted, retryAfter, ok := h.admit(r.Context(), q, route)
	if r.Context().Err() != nil {
		if ok {
			admitted.done(false)
		}
		h.Engine.Metrics.abandoned.Inc()
		return
	}
	if !ok && started(h.stop.refusing) {
		h.refuse(w, r, retryAfterShort, errIsStopping.Error())
		return
	}
	if !ok {
		h.refuse(w, r, retryAfter, "targets have too much work: "+admitted.String())
		return
	}
	q.setStage(waitsForConnection)
	run, decision, ok := h.Engine.run(r.Context(), q)
	defer run.cancel()
	if ok && decision == scatter.Fail && !q.forwarded && !run.mayHaveRun() && h.Engine.lacksTargets(q) {
		admitted.done(false)
		h.forward(w, r, route, q)
		return
	}
	admitted.done(ok && run.overloaded(h.Engine.Timer.Now(), route.Objective()))
	took := h.Engine.Timer.Now().Sub(q.received)
	if !ok {
		h.Engine.Metrics.abandoned.Inc()
		h.logQuery(r, route, run, q.currentStage(), "caller left", took)
		return
	}
	if stream := q.request.Stream; stream != nil && !stream.AtEOF() {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	stage := q.currentStage()
	q.setStage(writesAnswer)
	status := h.writeAnswer(w, run, decision)
	tail := run.tail()
	h.Engine.Metrics.answerTime.Update(took.Seconds())
	h.logQuery(r, route, run, stage, strconv.Itoa(status), took)
	if tail == nil {
		return
	}
	if err := h.streamTail(w, r, q, tail); err != nil {
		if r.Context().Err() == nil && origin.ConnectionEnded(err) {
			h.Engine.connectionBroke(q, run.answer.Target)
		}
		h.logWith(r, "error", err.Error()).Info("a long answer broke off; closing the caller's connection")
		panic(http.ErrAbortHandler) // aborts the response, so that the caller sees that it is incomplete
	}
}

// streamTail passes the rest of a long answer on, until the caller does not wait for
// it any more: an answer may have no end, and a caller may not read it.
func (h *Handler) streamTail(w http.ResponseWriter, r *http.Request, q *query, tail *origin.Tail) error {
	ctx, cancel := context.WithDeadline(r.Context(), q.streamUntil)
	defer cancel()
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(q.streamUntil); err != nil {
		return errors.Wrap(err, "setting the deadline of a long answer")
	}
	if err := tail.Copy(ctx, w); err != nil {
		return err
	}
	return errors.Wrap(controller.SetWriteDeadline(time.Time{}), "lifting the deadline of a long answer")
}

// admit waits until a query may run. If the query is refused, admit returns false
// and the time after which the caller may retry.
func (h *Handler) admit(ctx context.Context, q *query, route *catalog.Route) (admission, time.Duration, bool) {
	key := string(q.services[0])
	size := groupSize(h.Engine.View(), q.services, h.Engine.Hosts.HostCount())
	wait := time.Duration(maxWaitShare * float64(route.Objective()))
	maxRetryAfter := time.Duration(maxRetryAfterShare * float64(q.params.Timeout))
	return h.gates.admit(ctx, key, size, route.Priority(), wait, maxRetryAfter, q.withdrawn)
}

// limitRetryAfter returns the retry-after for a query that is over a limit.
func (h *Handler) limitRetryAfter(q *query, delay time.Duration) time.Duration {
	maxRetryAfter := time.Duration(maxRetryAfterShare * float64(q.params.Timeout))
	return max(retryAfterShort, min(delay, maxRetryAfter))
}

// enoughTargets reports whether enough services have a target.
func (h *Handler) enoughTargets(q *query) bool {
	view := h.Engine.View()
	n := 0
	for _, service := range q.services {
		if len(view.Targets(service)) > 0 {
			n++
		}
	}
	return n >= q.params.MinShards
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, retryAfter time.Duration, reason string) {
	h.Engine.Metrics.refused.Inc()
	h.logWith(r, "reason", reason).WithFields(log.Fields{
		"after": retryAfter.Round(time.Millisecond).String(), "age": h.DataAge().Round(time.Millisecond).String(),
	}).Info("request refused")
	writeFailure(w, http.StatusServiceUnavailable, retryAfter)
}
