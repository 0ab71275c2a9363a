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

// A target that resets each connection at the second request on it gets every
// request once.
func TestSendNeverReplays(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	r := newRig(t, raw(t, func(c *net.TCPConn) {
		b := bufio.NewReader(c)
		if !whollyRead(b) {
			return
		}
		runs.Add(1)
		_, _ = io.WriteString(c, good)
		if whollyRead(b) {
			runs.Add(1)
		}
		reset(c)
	}), 2)
	var possible int32
	for range 50 {
		a := r.send(t.Context(), sub(soon))
		if a.Outcome() != magnoliashore.OutcomeNotRun {
			possible++
		}
	}
	if got, want := runs.Load(), possible; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestIdleBreakIsDown(t *testing.T) {
	t.Parallel()
	for _, abrupt := range []bool{true, false} {
		cut := make(chan struct{})
		r := newRig(t, raw(t, func(c *net.TCPConn) {
			script(good, "cut")(c)
			<-cut
			if abrupt {
				reset(c)
			}
		}), 1)
		check(t, r.send(t.Context(), sub(soon)), "ran", "")
		eventually(t, "states", r.states.text, "[up]")
		close(cut)
		eventually(t, "states", r.states.text, "[up down]")
		eventually(t, "conns", r.conns, 0)
	}
}

// The end of ctx or of the deadline cancels the request at the target. Send
// returns when the target has let go of it, or when Pool.Release is over.
func TestSendWaitsForTarget(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name          string
		cancel        bool
		release, busy time.Duration // busy: how long the target takes to let go
		least, most   time.Duration // when Send returns
		reason        string
	}{
		{"deadline", false, soon, 100 * time.Millisecond, 100 * time.Millisecond, soon, "deadline"},
		{"cancelled", true, soon, 100 * time.Millisecond, 100 * time.Millisecond, soon, "cancelled"},
		{"the target does not let go", false, 50 * time.Millisecond, soon, 50 * time.Millisecond, soon / 2, "deadline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			end, freed := make(chan struct{}), make(chan struct{})
			r := newRig(t, serve(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if test.cancel {
					cancel()
				}
				<-r.Context().Done()
				close(freed)
				select {
				case <-end:
				case <-time.After(test.busy):
				}
			}), 1)
			defer close(end)
			r.release(test.release)
			began := time.Now()
			a, e := r.pool.Send(ctx, sub(200*time.Millisecond), r.target, magnoliashore.Permit{})
			took := time.Since(began)
			check(t, a, "unknown", test.reason)
			if took < test.least || took > test.most {
				t.Errorf("returned after %v, want %v to %v", took, test.least, test.most)
			}
			if e.Took > test.most/2 || e.Healthy {
				t.Errorf("evidence: got %+v, want the time until the end", e)
			}
			<-freed
			check(t, r.send(ctx, sub(-1)), "notrun", "deadline")
		})
	}
}

// One caller that sends the next request when Send returns never has two of
// them running at the target, however often it cancels.
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
		if r.send(ctx, sub(soon)).Outcome() == magnoliashore.OutcomeUnknown {
			cancelled++
		}
		cancel()
	}
	if got := overlaps.Load(); got != 0 || cancelled == 0 {
		t.Errorf("overlaps: got %d with %d cancelled, want none", got, cancelled)
	}
}

func TestUnopened(t *testing.T) {
	t.Parallel()
	r := newRig(t, serve(t, answer), 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	check(t, r.send(ctx, sub(soon)), "notrun", "cancelled")
	r.pool.Close("t1")
	check(t, r.send(t.Context(), sub(soon)), "notrun", "leaving")
	if _, err := r.pool.Probe(t.Context(), r.target); err == nil {
		t.Error("probe: got no error, want one")
	}
}
