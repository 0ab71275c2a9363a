package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
)

const (
	// Timeout if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// Time for a long answer if the caller sets no timeout.
	maxStreamTime = 10 * time.Minute
	// Time before the caller's deadline that is left to send the answer.
	answerMargin = 20 * time.Millisecond
)

// newQuery returns the query for a request.
func (h *Handler) newQuery(r *http.Request, route *catalog.Route, received time.Time, body []byte) *query {
	callerParams := h.Dialect.Caller(r.Header)
	timeout, streamTime := callerParams.Timeout, callerParams.Timeout
	if timeout <= 0 {
		timeout, streamTime = defaultTimeout, maxStreamTime
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
		received: received, kind: route.Name(), deadline: deadline, streamUntil: received.Add(streamTime),
		params:    scatterParams(route, max(timeout-answerMargin, timeout/2)),
		withdrawn: make(chan struct{}),
		topK:      route.TopK(), scatter: route.Scatters(), useHelpers: route.Scatters(),
	}
	q.services = route.Shards()
	if !route.Scatters() {
		q.services = []magnoliashore.ServiceName{h.Splitter.Next(route)}
	}
	return q
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
