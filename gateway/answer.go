package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// writeAnswer writes the answer of a query and returns its status.
func (h *Handler) writeAnswer(w http.ResponseWriter, run *queryRun, decision scatter.Decision) int {
	m := h.Engine.Metrics
	switch {
	case decision == scatter.Answer && run.answer != nil:
		m.whole.Inc()
		return h.writeResult(w, run)
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
		run.answer = run.lastAnswer
		return h.writeResult(w, run)
	case !run.mayHaveRun():
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

// maxUnguarded is the size of a body from which its caller may be waited for. Smaller ones
// fit into the buffers of a connection.
const maxUnguarded = 16 << 10

// minWriteTime is how long a caller that reads slowly is waited for at least: an answer that
// is ready is delivered, also when it is late.
const minWriteTime = 5 * time.Second

// writeResult writes the answer of a target and returns the status that it has written. A
// caller that does not read is waited for until it does not wait for the answer any more.
func (h *Handler) writeResult(w http.ResponseWriter, run *queryRun) int {
	result := run.answer
	if len(result.Body) > maxUnguarded {
		controller := http.NewResponseController(w)
		until := h.Engine.Timer.Now().Add(max(h.Engine.timeUntil(run.query.streamUntil), minWriteTime))
		if err := controller.SetWriteDeadline(until); err == nil { // recorders have no deadlines
			defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
		}
	}
	length := int64(len(result.Body))
	switch {
	case result.Tail == nil:
	case result.Tail.Length() >= 0:
		length += result.Tail.Length()
	default:
		length = unknownLength
	}
	if run.query.forwarded && result.Reply.Leaving {
		relay.SetLeaving(w.Header(), result.Target.ID())
	}
	status, ok := writeHead(w, result.Status, result.Header, length)
	if !ok {
		h.Engine.Metrics.unprovenRefusals.Inc()
		h.Log.WithFields(log.Fields{
			"request": run.query.request.ID, "target": string(result.Target.ID()), "status": result.Status,
			"outcome": strconv.Itoa(status),
		}).Info("target's status is not passed on: it would say that the request has not run")
		return status
	}
	_, _ = w.Write(result.Body) // an error means that the caller has left
	return status
}

// unknownLength is the length of a body that ends with its connection or its last chunk.
const unknownLength = -1

// writeHead writes the head of an answer that a target or another host has given, with a
// body of length bytes, and returns its status. A status which says that the request has
// not run and never will is not taken from others: the caller could send a request again
// that has run. It gets 502 then, as a failure of this host, and writeHead returns false;
// the body must not be written.
func writeHead(w http.ResponseWriter, status int, from http.Header, length int64) (int, bool) {
	if magnoliashore.IsRefusal(status) {
		return writeFailure(w, http.StatusBadGateway, 0), false
	}
	header := w.Header()
	for name, values := range endToEnd(from) {
		if !relay.IsHostField(name) {
			header[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // prevents the server from adding one
		}
	}
	if length != unknownLength {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	return status, true
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
