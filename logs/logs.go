// Package logs writes structured log lines at a limited rate and without
// blocking the code that logs.
package logs

import (
	"bytes"
	"context"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/magnoliashore/magnoliashore/ring"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	queueSize    = 512                    // maximum number of lines waiting to be written
	maxPerSecond = 400                    // limit for debug and info lines; warnings and errors are exempt
	drainTimeout = 200 * time.Millisecond // maximum time to write the queued lines on shutdown
)

// Handler formats and queues log entries, which Run writes. It drops and counts
// lines when the queue is full, and debug and info lines above the rate limit.
// Set the exported fields before the first entry.
type Handler struct {
	Output  io.Writer
	Timer   *timer.Service
	Dropped func() // called for each dropped line if not nil

	lines *ring.Ring[[]byte]

	mu          sync.Mutex
	windowStart time.Time // start of the current second of the rate limit
	accepted    int       // lines of any level accepted since windowStart
	dropped     int       // lines dropped since the last queued line
}

var _ log.Handler = (*Handler)(nil)

// New returns a handler that writes to output.
func New(output io.Writer, clock *timer.Service) *Handler {
	return &Handler{Output: output, Timer: clock, lines: ring.New[[]byte](queueSize)}
}

// HandleLog formats the entry and queues it for Run, or drops it.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.Timer.Now(); now.Sub(h.windowStart) >= time.Second {
		h.windowStart, h.accepted = now, 0
	}
	if h.accepted >= maxPerSecond && e.Level < log.WarnLevel {
		h.drop()
		return nil
	}
	h.accepted++
	if h.dropped > 0 {
		e = withDropped(e, h.dropped)
	}
	var line bytes.Buffer
	if err := logfmt.New(&line).HandleLog(e); err != nil {
		return err
	}
	if !h.lines.Push(line.Bytes()) {
		h.drop()
		return nil
	}
	h.dropped = 0
	return nil
}

// withDropped returns a copy of the entry with the number of lines dropped
// before it.
func withDropped(e *log.Entry, dropped int) *log.Entry {
	out := *e
	out.Fields = maps.Clone(e.Fields)
	if out.Fields == nil {
		out.Fields = make(log.Fields)
	}
	out.Fields["dropped"] = dropped
	return &out
}

// drop counts a dropped line. The caller must hold mu.
func (h *Handler) drop() {
	h.dropped++
	if h.Dropped != nil {
		h.Dropped()
	}
}

// Run writes the queued lines until ctx ends, and then those still in the
// queue, for at most drainTimeout.
func (h *Handler) Run(ctx context.Context) {
	for {
		select {
		case line := <-h.lines.Items():
			h.write(line)
		case <-ctx.Done():
			h.drain()
			return
		}
	}
}

func (h *Handler) drain() {
	timeout := h.Timer.After(drainTimeout)
	defer timeout.Stop()
	for {
		select {
		case line := <-h.lines.Items():
			h.write(line)
		case <-timeout.C:
			return
		default:
			return
		}
	}
}

func (h *Handler) write(line []byte) {
	// An error cannot be reported, since this is the log itself.
	_, _ = h.Output.Write(line)
}
