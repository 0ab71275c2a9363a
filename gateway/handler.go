package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/scatter"
)

const (
	// Timeout if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// Time before the caller's deadline that is left to send the answer.
	answerMargin = 20 * time.Millisecond
	// Retry-after of a refusal whose reason should pass soon.
	retryAfterShort = 50 * time.Millisecond
	// Retry-after while the configuration or targets are missing.
	retryAfterLong = 500 * time.Millisecond
	// How long the rest of an answered request is read: many round trips.
	drainTimeout = 500 * time.Millisecond
	// Largest body if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// Bytes of a body that are buffered, so that the request can be retried and
	// a slow caller does not occupy a target.
	maxBufferedBody = 256 << 10
)

// Handler serves the requests of callers.
type Handler struct {
	Engine   *Engine
	Dialect  magnoliashore.Dialect
	Splitter *balance.Splitter
	Log      log.Interface
	Stopping func() bool          // this host is shutting down
	DataAge  func() time.Duration // time since the last data from the store
	Refusing func() bool          // requests are refused, since this host stops soon

	gates *gates
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Stopping() {
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
	if h.Refusing() {
		h.refuse(w, r, retryAfterShort, "this host is about to stop")
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
	h.serve(w, r, route, q)
	if stream != nil && !stream.AtEOF() {
		h.drainBody(w, r, stream)
	}
}

// drainBody reads the rest of the body of an answered request for a short time.
// Closing a connection with unread bytes resets it, and the caller could lose the
// answer. The read deadline also unblocks an attempt that still reads the body.
func (h *Handler) drainBody(w http.ResponseWriter, r *http.Request, stream *origin.Stream) {
	controller := http.NewResponseController(w)
	err := controller.Flush()
	if err == nil {
		err = controller.SetReadDeadline(h.Engine.Timer.Now().Add(drainTimeout))
	}
	if err != nil {
		h.logWith(r, "error", err.Error()).Info("cannot read the rest of a body")
		return
	}
	if stream.Started() {
		timeout := h.Engine.Timer.After(drainTimeout)
		defer timeout.Stop()
		select {
		case <-stream.SendDone():
		case <-timeout.C:
			return
		}
	}
	_, _ = io.Copy(io.Discard, stream) // ends at the end of the body, at the deadline, or when the caller leaves
}

// serve runs the request and writes its answer.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, route *catalog.Route, q *query) {
	if !h.enoughTargets(q) {
		// Targets need longer to recover than a queue needs to empty.
		maxRetryAfter := time.Duration(maxRetryAfterShare * float64(q.params.Timeout))
		h.refuse(w, r, max(retryAfterShort, min(retryAfterLong, maxRetryAfter)), "too few shards have a target")
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
	if !ok {
		h.refuse(w, r, retryAfter, "targets have too much work: "+admitted.String())
		return
	}
	run, cancel := h.Engine.start(r.Context(), q)
	defer cancel()
	decision, ok := run.wait(r.Context())
	admitted.done(ok && run.overloaded(h.Engine.Timer.Now(), route.Objective()))
	took := h.Engine.Timer.Now().Sub(q.received)
	if !ok {
		h.Engine.Metrics.abandoned.Inc()
		h.logQuery(r, route, run, "caller left", took)
		return
	}
	if stream := q.request.Stream; stream != nil && !stream.AtEOF() {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	status := h.writeAnswer(w, run, decision)
	tail := run.tail()
	h.Engine.Metrics.answerTime.Update(took.Seconds())
	h.logQuery(r, route, run, strconv.Itoa(status), took)
	if tail == nil {
		return
	}
	if err := tail.Copy(r.Context(), w); err != nil {
		h.logWith(r, "error", err.Error()).Info("a long answer broke off; closing the caller's connection")
		panic(http.ErrAbortHandler) // aborts the response, so that the caller sees that it is incomplete
	}
}

// admit waits until a query may run. If the query is refused, admit returns false
// and the time after which the caller may retry.
func (h *Handler) admit(ctx context.Context, q *query, route *catalog.Route) (admission, time.Duration, bool) {
	key := string(q.services[0])
	size := groupSize(h.Engine.View(), q.services, h.Engine.Hosts.HostCount())
	wait := time.Duration(maxWaitShare * float64(route.Objective()))
	maxRetryAfter := time.Duration(maxRetryAfterShare * float64(q.params.Timeout))
	return h.gates.admit(ctx, key, size, route.Priority(), wait, maxRetryAfter)
}

// newQuery returns the query for a request.
func (h *Handler) newQuery(r *http.Request, route *catalog.Route, received time.Time, body []byte) *query {
	callerParams := h.Dialect.Caller(r.Header)
	timeout := callerParams.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := received.Add(timeout)
	if route.Timeout() > 0 {
		timeout = min(timeout, route.Timeout())
	}
	q := &query{
		request: origin.Request{
			Method: r.Method, URI: uri(r), Host: r.Host, Header: endToEnd(r.Header), Body: body,
			ID: callerParams.ID, Priority: route.Priority(), AllowTail: !route.Scatters(),
		},
		received: received, kind: route.Name(), deadline: deadline, params: scatterParams(route, max(timeout-answerMargin, timeout/2)),
		topK: route.TopK(), scatter: route.Scatters(), useHelpers: route.Scatters(),
	}
	q.services = route.Shards()
	if !route.Scatters() {
		q.services = []magnoliashore.ServiceName{h.Splitter.Next(route)}
	}
	return q
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

// writeAnswer writes the answer of a query and returns its status.
func (h *Handler) writeAnswer(w http.ResponseWriter, run *queryRun, decision scatter.Decision) int {
	m := h.Engine.Metrics
	switch {
	case decision == scatter.Answer && run.answer != nil:
		m.whole.Inc()
		return writeResult(w, run.answer)
	case decision == scatter.Answer:
		if run.progress.Missing() > 0 {
			m.partial.Inc()
		} else {
			m.whole.Inc()
		}
		records := run.records()
		h.Dialect.Coverage(w.Header(), run.signatures(), run.progress.Missing())
		w.Header()["Content-Type"] = nil
		w.Header().Set("Content-Length", strconv.Itoa(len(records)))
		_, _ = w.Write(records) // an error means that the caller has left
		return http.StatusOK
	case run.bodyErr() != nil:
		m.failed.Inc()
		return writeFailure(w, statusOf(run.bodyErr()), 0)
	case run.lastAnswer != nil && !run.query.scatter:
		m.failed.Inc()
		return writeResult(w, run.lastAnswer)
	case !run.progress.MayHaveRun():
		m.refused.Inc()
		return writeFailure(w, http.StatusServiceUnavailable, retryAfterShort)
	case decision == scatter.Expired:
		m.expired.Inc()
		return writeFailure(w, http.StatusGatewayTimeout, 0)
	default:
		m.failed.Inc()
		return writeFailure(w, http.StatusBadGateway, 0)
	}
}

// writeResult writes the answer of a target and returns its status.
func writeResult(w http.ResponseWriter, result *origin.Result) int {
	header := w.Header()
	for name, values := range endToEnd(result.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents the server from guessing one
	}
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil
	}
	switch {
	case result.Tail == nil:
		header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	case result.Tail.Length() >= 0:
		header.Set("Content-Length", strconv.FormatInt(int64(len(result.Body))+result.Tail.Length(), 10))
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body) // an error means that the caller has left
	return result.Status
}

// writeFailure writes an error response of this host, with a Retry-After header
// if retryAfter is set.
func writeFailure(w http.ResponseWriter, status int, retryAfter time.Duration) int {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	return status
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, retryAfter time.Duration, reason string) {
	h.Engine.Metrics.refused.Inc()
	h.logWith(r, "reason", reason).WithFields(log.Fields{
		"after": retryAfter.Round(time.Millisecond).String(), "age": h.DataAge().Round(time.Millisecond).String(),
	}).Info("request refused")
	writeFailure(w, http.StatusServiceUnavailable, retryAfter)
}

// readBody reads the body of a request. It buffers a long body only if whole is
// set, and otherwise returns the rest as a stream. It returns false if it has
// answered the request because the body cannot be read.
func (h *Handler) readBody(
	w http.ResponseWriter, r *http.Request, limits catalog.Limits, whole bool,
) ([]byte, *origin.Stream, bool) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		h.failBody(w, r, &http.MaxBytesError{Limit: limit})
		return nil, nil, false
	}
	source := http.MaxBytesReader(nil, r.Body, limit) // nil: an attempt must not use w
	held := limit
	if !whole {
		held = min(limit, maxBufferedBody)
	}
	body, err := io.ReadAll(io.LimitReader(source, held+1))
	if err != nil {
		h.failBody(w, r, err)
		return nil, nil, false
	}
	if int64(len(body)) <= held {
		return body, nil, true
	}
	// Without full duplex the server reads the rest itself when the answer begins.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		h.failBody(w, r, err)
		return nil, nil, false
	}
	return body, origin.NewStream(source, max(r.ContentLength-int64(len(body)), -1)), true
}

// failBody answers a request whose body cannot be read.
func (h *Handler) failBody(w http.ResponseWriter, r *http.Request, err error) {
	h.logWith(r, "error", err.Error()).Info("request body cannot be read")
	if r.Context().Err() == nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		writeFailure(w, statusOf(err), 0)
	}
}

// statusOf returns the status for a body that cannot be read.
func statusOf(err error) int {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// logQuery logs a request that was run.
func (h *Handler) logQuery(r *http.Request, route *catalog.Route, run *queryRun, outcome string, took time.Duration) {
	h.Engine.Metrics.extraAttempts.Add(run.extraAttempts)
	h.Engine.Metrics.batches.Add(len(run.batches))
	h.Log.WithFields(log.Fields{
		"request": h.Dialect.Caller(r.Header).ID, "route": route.Name(),
		"version": uint64(h.Engine.View().Config().Version()),
		"shards":  len(run.query.services), "missing": run.progress.Missing(), "batches": len(run.batches),
		"extra": run.extraAttempts, "refused": run.refused, "targets": run.targets(), "why": run.failureSummary(),
		"age": h.DataAge().Round(time.Millisecond).String(), "took": took.Round(100 * time.Microsecond).String(),
		"outcome": outcome,
	}).Info("request done")
}

// failureSummary describes how the latest attempt failed at each shard without a
// partial result.
func (r *queryRun) failureSummary() string {
	var failures []string
	for i, service := range r.query.services {
		if r.progress.HasResult(i) {
			continue
		}
		if len(failures) == maxLoggedFailures {
			return strings.Join(append(failures, "and others"), "; ")
		}
		if failure, ok := r.failures[i]; ok {
			failures = append(failures, failure)
		} else {
			failures = append(failures, string(service)+" has not answered")
		}
	}
	return strings.Join(failures, "; ")
}

// maxLoggedFailures is the most failures in one log line.
const maxLoggedFailures = 3

// targets lists the targets of the attempts. For a scatter-gather query, it lists
// only those of the shards without a partial result.
func (r *queryRun) targets() string {
	var names []string
	for i, tried := range r.tried {
		if r.query.scatter && r.progress.HasResult(i) {
			continue
		}
		for _, id := range tried {
			names = append(names, string(id))
		}
	}
	return strings.Join(names, ",")
}

func (h *Handler) logWith(r *http.Request, name string, value any) log.Interface {
	return h.Log.WithField("request", h.Dialect.Caller(r.Header).ID).WithField(name, value)
}

// uri returns the path and query as the caller sent them.
func uri(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.RequestURI == "*" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// path returns the path as the caller sent it.
func path(r *http.Request) string {
	p, _, _ := strings.Cut(uri(r), "?")
	return p
}

// endToEnd returns the header fields that are not hop-by-hop.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		out.Del(name)
	}
	return out
}
