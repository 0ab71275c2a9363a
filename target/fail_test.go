package target

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// TestSendNeverReplays uses a target that resets each connection on its second
// request: a request must run once, or not at all if its outcome says so.
func TestSendNeverReplays(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	r := newRig(t, serveTCP(t, func(c *net.TCPConn) {
		b := bufio.NewReader(c)
		if !readRequest(b) {
			return
		}
		runs.Add(1)
		_, _ = io.WriteString(c, validReply)
		if readRequest(b) {
			runs.Add(1)
		}
		reset(c)
	}), 2)
	var possible int32
	for range 50 {
		a := r.send(t.Context(), sub(testTimeout))
		if a.Outcome() != magnoliashore.OutcomeNotRun {
			possible++
		}
	}
	if got, want := runs.Load(), possible; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// TestIdleBreakIsDown has the target close or reset an idle connection: the
// state must change to down.
func TestIdleBreakIsDown(t *testing.T) {
	t.Parallel()
	for _, abrupt := range []bool{true, false} {
		cut := make(chan struct{})
		r := newRig(t, serveTCP(t, func(c *net.TCPConn) {
			replyOnce(validReply, "cut")(c)
			<-cut
			if abrupt {
				reset(c)
			}
		}), 1)
		check(t, r.send(t.Context(), sub(testTimeout)), "ran", "")
		eventually(t, "states", r.states.text, "[up]")
		close(cut)
		eventually(t, "states", r.states.text, "[up down]")
		eventually(t, "conns", r.conns, 0)
	}
}

// TestSendWaitsForTarget ends a request by its context or its deadline, which
// cancels it at the target. Send must return when the target has closed its
// side, or when Pool.ReleaseTimeout has elapsed.
func TestSendWaitsForTarget(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name             string
		cancel           bool
		release, busy    time.Duration // busy: how long the target takes to end the request
		minTook, maxTook time.Duration // bounds on the duration of Send
		reason           string
	}{
		{"deadline", false, testTimeout, 100 * time.Millisecond, 100 * time.Millisecond, testTimeout, "deadline"},
		{"cancelled", true, testTimeout, 100 * time.Millisecond, 100 * time.Millisecond, testTimeout, "cancelled"},
		{"the target does not end the request", false, 50 * time.Millisecond, testTimeout, 50 * time.Millisecond, testTimeout / 2, "deadline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			end, cancelSeen := make(chan struct{}), make(chan struct{})
			r := newRig(t, serve(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if test.cancel {
					cancel()
				}
				<-r.Context().Done()
				close(cancelSeen)
				select {
				case <-end:
				case <-time.After(test.busy):
				}
			}), 1)
			defer close(end)
			r.reopen(test.release)
			began := time.Now()
			a, e := r.pool.Send(ctx, sub(200*time.Millisecond), r.target, magnoliashore.Permit{})
			took := time.Since(began)
			check(t, a, "unknown", test.reason)
			if took < test.minTook || took > test.maxTook {
				t.Errorf("returned after %v, want %v to %v", took, test.minTook, test.maxTook)
			}
			if e.Latency > test.maxTook/2 || e.Healthy {
				t.Errorf("evidence: got %+v, want the time until the end", e)
			}
			<-cancelSeen
			check(t, r.send(ctx, sub(-1)), "notrun", "deadline")
		})
	}
}

// TestCancelKeepsSlot sends each request when Send has returned for the one
// before, and cancels many of them: two requests must never run at the target
// at the same time.
func TestCancelKeepsSlot(t *testing.T) {
	t.Parallel()
	var running, overlaps atomic.Int32
	r := newRig(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if running.Add(1) > 1 {
			overlaps.Add(1)
		}
		defer running.Add(-1)
		select {
		case <-r.Context().Done():
			time.Sleep(200 * time.Microsecond)
		case <-time.After(time.Millisecond):
			answer(w, r)
		}
	}), 4)
	var cancelled int
	for range 300 {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Microsecond+rand.N(2*time.Millisecond))
		if r.send(ctx, sub(testTimeout)).Outcome() == magnoliashore.OutcomeUnknown {
			cancelled++
		}
		cancel()
	}
	if got := overlaps.Load(); got != 0 || cancelled == 0 {
		t.Errorf("overlaps: got %d with %d cancelled, want none", got, cancelled)
	}
}

// TestSendToClosedTarget sends to a closed target, and before that with a
// cancelled context: neither request may run.
func TestSendToClosedTarget(t *testing.T) {
	t.Parallel()
	r := newRig(t, serve(t, answer), 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	check(t, r.send(ctx, sub(testTimeout)), "notrun", "cancelled")
	r.pool.Close("t1")
	check(t, r.send(t.Context(), sub(testTimeout)), "notrun", "leaving")
	if _, err := r.pool.Probe(t.Context(), r.target); err == nil {
		t.Error("probe: got no error, want one")
	}
}
