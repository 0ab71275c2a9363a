package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/scatter"
)

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
	case !run.progress.MayHaveRun() && !run.query.probed:
		m.refused.Inc()
		return writeFailure(w, http.StatusServiceUnavailable, h.limitRetryAfter(run.query, h.Engine.limitDelay(run.query)))
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
