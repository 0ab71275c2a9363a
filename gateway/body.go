package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
)

const (
	// How long the rest of an answered request is read: many round trips.
	drainTimeout = 500 * time.Millisecond
	// Largest body if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// Bytes of a body that are buffered, so that the request can be retried and
	// a slow caller does not occupy a target.
	maxBufferedBody = 256 << 10
)

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
