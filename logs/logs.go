// Package logs writes structured log lines without ever blocking their
// source, and at a bounded rate.
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
	queue     = 512 // lines that wait for the output
	perSecond = 400 // lines of debug and info level; warnings and errors always pass
	finish    = 200 * time.Millisecond
)

// Handler formats entries and hands them to Run, which writes them. Lines for
// which there is no room, or too many in one second, are dropped and counted.
// Set the exported fields before the first entry.
type Handler struct {
	Output  io.Writer
	Timer   *timer.Service
	Dropped func() // called for each dropped line; may be nil

	lines *ring.Ring[[]byte]

	mu      sync.Mutex
	second  time.Time
	passed  int
	dropped int // since the last line that says so
}

var _ log.Handler = (*Handler)(nil)

// New returns a handler that writes to output.
func New(output io.Writer, clock *timer.Service) *Handler {
	return &Handler{Output: output, Timer: clock, lines: ring.New[[]byte](queue)}
}

// HandleLog takes an entry.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.Timer.Now(); now.Sub(h.second) >= time.Second {
		h.second, h.passed = now, 0
	}
	if h.passed >= perSecond && e.Level < log.WarnLevel {
		h.drop()
		return nil
	}
	h.passed++
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

// withDropped returns a copy of an entry that says how many lines are missing
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

// drop counts a line. The caller holds mu.
func (h *Handler) drop() {
	h.dropped++
	if h.Dropped != nil {
		h.Dropped()
	}
}

// Run writes lines until ctx ends, and then those that wait, for a short time.
func (h *Handler) Run(ctx context.Context) {
	for {
		select {
		case line := <-h.lines.Items():
			h.write(line)
		case <-ctx.Done():
			h.rest()
			return
		}
	}
}

func (h *Handler) rest() {
	over := h.Timer.After(finish)
	defer over.Stop()
	for {
		select {
		case line := <-h.lines.Items():
			h.write(line)
		case <-over.C:
			return
		default:
			return
		}
	}
}

func (h *Handler) write(line []byte) {
	// There is nowhere to report that the log cannot be written.
	_, _ = h.Output.Write(line)
}
