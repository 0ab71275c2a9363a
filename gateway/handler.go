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
	defaultBody     = 1 << 20                // bytes, while no configuration states a limit
)

// Handler serves the requests of callers.
type Handler struct {
	Engine  *Engine
	Dialect magnoliashore.Dialect
	Dealer  *balance.Dealer
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
	body, ok := h.body(w, r, view.Config().Limits())
	if !ok {
		return
	}
	h.serve(w, r, route, began, body)
}

// serve runs the request and writes its answer.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, route *catalog.Route, began time.Time, body []byte) {
	q := h.query(r, route, began, body)
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
	run.end(cancel, !ok)
	admitted.leave(ok && run.overloaded(h.Engine.Timer.Now(), route.Objective()))
	took := h.Engine.Timer.Now().Sub(began)
	if !ok {
		h.Engine.Metrics.abandoned.Inc()
		h.logRun(r, route, run, "caller left", took)
		return
	}
	status := h.answer(w, run, verdict)
	h.Engine.Metrics.answers.Update(took.Seconds())
	h.logRun(r, route, run, strconv.Itoa(status), took)
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
			ID: terms.ID, Rank: route.Priority(),
		},
		kind: route.Name(), deadline: deadline, terms: termsOf(route, max(patience-answerMargin, patience/2)),
		best: route.Best(), scatters: route.Scatters(), delegate: route.Scatters(),
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
	return n >= q.terms.Needed
}

// answer writes the final answer and returns its status.
func (h *Handler) answer(w http.ResponseWriter, run *run, verdict scatter.Verdict) int {
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
	header.Set("Content-Length", strconv.Itoa(len(result.Body)))
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

// body reads the whole body of a request. It returns false if the request is
// answered.
func (h *Handler) body(w http.ResponseWriter, r *http.Request, limits catalog.Limits) ([]byte, bool) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		h.note(r, "limit", limit).Info("request body is too large")
		deny(w, http.StatusRequestEntityTooLarge, 0)
		return nil, false
	}
	if r.Context().Err() == nil {
		h.note(r, "error", err.Error()).Info("request body cannot be read")
		deny(w, http.StatusBadRequest, 0)
	}
	return nil, false
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
		if r.race.IsIn(i) {
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
		if r.query.scatters && r.race.IsIn(i) {
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
