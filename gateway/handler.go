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
	defaultPatience = 30 * time.Second       // of a caller that states none, on a route that states none
	answerMargin    = 20 * time.Millisecond  // before the caller's deadline, for the way back
	comeBackSoon    = 50 * time.Millisecond  // when to come back after a refusal that should not last
	comeBackLater   = 500 * time.Millisecond // when to come back while a configuration or targets are missing
	unreadTime      = 500 * time.Millisecond // for which the rest of an answered request is read: many round trips
	defaultBody     = 1 << 20                // bytes, while no configuration states a limit
	heldBody        = 256 << 10              // bytes of a request that are held, so that it can be repeated and a slow caller holds no target
)

// Handler serves the requests of callers.
type Handler struct {
	Engine  *Engine
	Dialect magnoliashore.Dialect
	Dealer  *balance.Splitter
	Log     log.Interface
	Leaving func() bool          // this host is about to stop
	Age     func() time.Duration // since the store was heard
	Refuse  func() bool          // this host is so close to its stop that requests are to go elsewhere

	gates *gates
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	view := h.Engine.View()
	if view.Config() == nil {
		h.refuse(w, r, comeBackLater, "no configuration is known yet")
		return
	}
	route := view.Config().Route(r.Host, path(r))
	if route == nil {
		h.Engine.Metrics.unrouted.Inc()
		h.note(r, "version", uint64(view.Config().Version())).Info("no route for the request")
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	if h.Refuse() {
		h.refuse(w, r, comeBackSoon, "this host is about to stop")
		return
	}
	began := h.Engine.Timer.Now()
	body, stream, ok := h.body(w, r, view.Config().Limits(), route.Scatters())
	if !ok {
		return
	}
	q := h.query(r, route, began, body)
	if stream != nil {
		q.request.Stream = stream
		q.terms.AtMostOnce = true
	}
	h.serve(w, r, route, q)
	if stream != nil && !stream.Done() {
		h.endStream(w, r, stream)
	}
}

// endStream reads the rest of a body whose request has been answered, for a
// short time: a connection that is closed with bytes unread is reset, and the
// caller might lose the answer. It also ends the read that an attempt may still
// wait in.
func (h *Handler) endStream(w http.ResponseWriter, r *http.Request, stream *origin.Stream) {
	controller := http.NewResponseController(w)
	err := controller.Flush()
	if err == nil {
		err = controller.SetReadDeadline(h.Engine.Timer.Now().Add(unreadTime))
	}
	if err != nil {
		h.note(r, "error", err.Error()).Info("cannot read the rest of a body")
		return
	}
	if stream.Started() {
		over := h.Engine.Timer.After(unreadTime)
		defer over.Stop()
		select {
		case <-stream.Sent():
		case <-over.C:
			return
		}
	}
	_, _ = io.Copy(io.Discard, stream) // ends with the body, the deadline or the caller
}

// serve runs the request and writes its answer.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, route *catalog.Route, q *query) {
	if !h.possible(q) {
		// Targets take longer to come back than a queue takes to drain.
		most := time.Duration(returnShare * float64(q.terms.Timeout))
		h.refuse(w, r, max(comeBackSoon, min(comeBackLater, most)), "too few shards have a target")
		return
	}
	admitted, after, ok := h.admit(r.Context(), q, route)
	if r.Context().Err() != nil {
		if ok {
			admitted.leave(false)
		}
		h.Engine.Metrics.abandoned.Inc()
		return
	}
	if !ok {
		h.refuse(w, r, after, "targets have too much work: "+admitted.String())
		return
	}
	run, cancel := h.Engine.start(r.Context(), q)
	verdict, ok := run.wait(r.Context())
	admitted.leave(ok && run.overloaded(h.Engine.Timer.Now(), route.Objective()))
	took := h.Engine.Timer.Now().Sub(q.began)
	if !ok {
		run.end(cancel, true)
		h.Engine.Metrics.abandoned.Inc()
		h.logRun(r, route, run, "caller left", took)
		return
	}
	if stream := q.request.Stream; stream != nil && !stream.Done() {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	status := h.answer(w, run, verdict)
	tail := run.tail()
	if tail == nil {
		run.end(cancel, false)
	}
	h.Engine.Metrics.answers.Update(took.Seconds())
	h.logRun(r, route, run, strconv.Itoa(status), took)
	if tail == nil {
		return
	}
	err := tail.Copy(r.Context(), w)
	run.end(cancel, false)
	if err != nil {
		h.note(r, "error", err.Error()).Info("a long answer broke off; closing the caller's connection")
		panic(http.ErrAbortHandler) // the server's way to show the caller that the answer is incomplete
	}
}

// admit waits until a query may run. It returns false, and when the caller is
// to come back, if it may not.
func (h *Handler) admit(ctx context.Context, q *query, route *catalog.Route) (pass, time.Duration, bool) {
	key := string(q.services[0])
	size := sizeOf(h.Engine.View(), q.services, h.Engine.Hosts.Count())
	wait := time.Duration(gateWait * float64(route.Objective()))
	most := time.Duration(returnShare * float64(q.terms.Timeout))
	return h.gates.enter(ctx, key, size, route.Priority(), wait, most)
}

// query returns the query that a request makes.
func (h *Handler) query(r *http.Request, route *catalog.Route, began time.Time, body []byte) *query {
	terms := h.Dialect.Caller(r.Header)
	patience := terms.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	deadline := began.Add(patience)
	if route.Timeout() > 0 {
		patience = min(patience, route.Timeout())
	}
	q := &query{
		request: origin.Request{
			Method: r.Method, URI: uri(r), Host: r.Host, Header: endToEnd(r.Header), Body: body,
			ID: terms.ID, Priority: route.Priority(), AllowTail: !route.Scatters(),
		},
		began: began, kind: route.Name(), deadline: deadline, terms: termsOf(route, max(patience-answerMargin, patience/2)),
		best: route.TopK(), scatters: route.Scatters(), delegate: route.Scatters(),
	}
	q.services = route.Shards()
	if !route.Scatters() {
		q.services = []magnoliashore.ServiceName{h.Dealer.Next(route)}
	}
	return q
}

// possible reports whether enough services have a target.
func (h *Handler) possible(q *query) bool {
	view := h.Engine.View()
	n := 0
	for _, service := range q.services {
		if len(view.Targets(service)) > 0 {
			n++
		}
	}
	return n >= q.terms.MinShards
}

// answer writes the final answer and returns its status.
func (h *Handler) answer(w http.ResponseWriter, run *run, verdict scatter.Decision) int {
	m := h.Engine.Metrics
	switch {
	case verdict == scatter.Answer && run.whole != nil:
		m.whole.Inc()
		return write(w, run.whole)
	case verdict == scatter.Answer:
		if run.race.Missing() > 0 {
			m.partial.Inc()
		} else {
			m.whole.Inc()
		}
		records := run.records()
		h.Dialect.Coverage(w.Header(), run.proofs(), run.race.Missing())
		w.Header()["Content-Type"] = nil
		w.Header().Set("Content-Length", strconv.Itoa(len(records)))
		_, _ = w.Write(records) // the caller has left if it fails
		return http.StatusOK
	case run.broken() != nil:
		m.failed.Inc()
		return deny(w, statusOf(run.broken()), 0)
	case run.last != nil && !run.query.scatters:
		m.failed.Inc()
		return write(w, run.last)
	case !run.race.Ran():
		m.refused.Inc()
		return deny(w, http.StatusServiceUnavailable, comeBackSoon)
	case verdict == scatter.Expired:
		m.expired.Inc()
		return deny(w, http.StatusGatewayTimeout, 0)
	default:
		m.failed.Inc()
		return deny(w, http.StatusBadGateway, 0)
	}
}

// write passes on the answer of a target.
func write(w http.ResponseWriter, result *origin.Result) int {
	header := w.Header()
	for name, values := range endToEnd(result.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps the server from guessing one
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
	_, _ = w.Write(result.Body) // the caller has left if it fails
	return result.Status
}

// deny writes a failure of this host. A caller is told when to come back if
// after is set.
func deny(w http.ResponseWriter, status int, after time.Duration) int {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	return status
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, after time.Duration, why string) {
	h.Engine.Metrics.refused.Inc()
	h.note(r, "reason", why).WithFields(log.Fields{
		"after": after.Round(time.Millisecond).String(), "age": h.Age().Round(time.Millisecond).String(),
	}).Info("request refused")
	deny(w, http.StatusServiceUnavailable, after)
}

// body reads the body of a request. A long one is read to its end only if it
// has to be held whole; else the rest is returned as a stream. body returns
// false if the request is answered.
func (h *Handler) body(
	w http.ResponseWriter, r *http.Request, limits catalog.Limits, whole bool,
) ([]byte, *origin.Stream, bool) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		h.unread(w, r, &http.MaxBytesError{Limit: limit})
		return nil, nil, false
	}
	source := http.MaxBytesReader(nil, r.Body, limit) // nil: an attempt must not touch w
	held := limit
	if !whole {
		held = min(limit, heldBody)
	}
	body, err := io.ReadAll(io.LimitReader(source, held+1))
	if err != nil {
		h.unread(w, r, err)
		return nil, nil, false
	}
	if int64(len(body)) <= held {
		return body, nil, true
	}
	// The server must not read the rest itself when the answer begins.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		h.unread(w, r, err)
		return nil, nil, false
	}
	return body, origin.NewStream(source, max(r.ContentLength-int64(len(body)), -1)), true
}

// unread answers a request of which the body cannot be read.
func (h *Handler) unread(w http.ResponseWriter, r *http.Request, err error) {
	h.note(r, "error", err.Error()).Info("request body cannot be read")
	if r.Context().Err() == nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		deny(w, statusOf(err), 0)
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

// logRun writes the line of a request that was run.
func (h *Handler) logRun(r *http.Request, route *catalog.Route, run *run, outcome string, took time.Duration) {
	h.Engine.Metrics.extra.Add(run.extra)
	h.Engine.Metrics.batches.Add(len(run.batches))
	h.Log.WithFields(log.Fields{
		"request": h.Dialect.Caller(r.Header).ID, "route": route.Name(),
		"version": uint64(h.Engine.View().Config().Version()),
		"shards":  len(run.query.services), "missing": run.race.Missing(), "batches": len(run.batches),
		"extra": run.extra, "refused": run.refused, "targets": run.targets(), "why": run.why(),
		"age": h.Age().Round(time.Millisecond).String(), "took": took.Round(100 * time.Microsecond).String(),
		"outcome": outcome,
	}).Info("request done")
}

// why tells of the shards without a part, or of the target asked last, how
// the latest attempt failed.
func (r *run) why() string {
	var whys []string
	for i, service := range r.query.services {
		if r.race.HasResult(i) {
			continue
		}
		if len(whys) == mostWhys {
			return strings.Join(append(whys, "and others"), "; ")
		}
		if fault, ok := r.faults[i]; ok {
			whys = append(whys, fault)
		} else {
			whys = append(whys, string(service)+" has not answered")
		}
	}
	return strings.Join(whys, "; ")
}

// mostWhys is how many shards a log line gives the fault of.
const mostWhys = 3

// targets names the targets asked for a query at one service, and those of
// the shards without a part for one over shards.
func (r *run) targets() string {
	var names []string
	for i, tried := range r.tried {
		if r.query.scatters && r.race.HasResult(i) {
			continue
		}
		for _, id := range tried {
			names = append(names, string(id))
		}
	}
	return strings.Join(names, ",")
}

func (h *Handler) note(r *http.Request, name string, value any) log.Interface {
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

// endToEnd returns the fields that do not concern one connection only.
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
