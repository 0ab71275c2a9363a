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

func TestSendRefusedDial(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	r := newRig(t, address, 1)
	check(t, r.send(t.Context(), sub(soon)), magnoliashore.OutcomeNotRun, magnoliashore.ReasonUnreachable)
	if got, want := r.states.text(), "[]"; got != want {
		t.Errorf("states: got %s, want %s", got, want)
	}
}

func TestSendResetAfterWrite(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	r := newRig(t, raw(t, func(c *net.TCPConn) {
		if whollyRead(bufio.NewReader(c)) {
			runs.Add(1)
		}
		reset(c)
	}), 1)
	check(t, r.send(t.Context(), sub(soon)), magnoliashore.OutcomeUnknown, magnoliashore.ReasonLost)
	eventually(t, "states", r.states.text, "[up down]")
	if got, want := runs.Load(), int32(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

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
		_, _ = io.WriteString(c, good+whole)
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
			script(good+whole, true)(c)
			<-cut
			if abrupt {
				reset(c)
			}
		}), 1)
		check(t, r.send(t.Context(), sub(soon)), magnoliashore.OutcomeRan, "")
		eventually(t, "states", r.states.text, "[up]")
		close(cut)
		eventually(t, "states", r.states.text, "[up down]")
		eventually(t, "conns", func() int { return r.pool.Conns("t1") }, 0)
	}
}

func TestCancelFrees(t *testing.T) {
	t.Parallel()
	arrived := make(chan struct{}, 1)
	freed := make(chan struct{}, 1)
	r := newRig(t, serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
		freed <- struct{}{}
	}), 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	check(t, r.send(ctx, sub(soon)), magnoliashore.OutcomeUnknown, magnoliashore.ReasonCancelled)
	select {
	case <-freed:
	case <-time.After(soon):
		t.Error("target: got no cancellation, want one")
	}
	check(t, r.send(ctx, sub(soon)), magnoliashore.OutcomeNotRun, magnoliashore.ReasonCancelled)
}

func TestDeadlineFrees(t *testing.T) {
	t.Parallel()
	freed := make(chan struct{}, 1)
	r := newRig(t, serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		freed <- struct{}{}
	}), 1)
	check(t, r.send(t.Context(), sub(30*time.Millisecond)), magnoliashore.OutcomeUnknown, magnoliashore.ReasonDeadline)
	select {
	case <-freed:
	case <-time.After(soon):
		t.Error("target: got no cancellation, want one")
	}
}

// Send returns when the target has let go of a cancelled request, or when
// Pool.Release is over.
func TestSendWaitsForTarget(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name          string
		release, busy time.Duration // busy: how long the target takes to let go
		least, most   time.Duration // when Send returns
	}{
		{"the target lets go", soon, 100 * time.Millisecond, 100 * time.Millisecond, soon},
		{"the target does not", 50 * time.Millisecond, soon, 50 * time.Millisecond, soon / 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			end := make(chan struct{})
			r := newRig(t, serve(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				select {
				case <-end:
				case <-time.After(test.busy):
				}
			}), 1)
			defer close(end)
			r.pool.Close("t1")
			r.pool.Release = test.release
			r.pool.Open(r.target, 1)
			began := time.Now()
			a, e := r.pool.Send(t.Context(), sub(20*time.Millisecond), r.target, time.Time{})
			check(t, a, magnoliashore.OutcomeUnknown, magnoliashore.ReasonDeadline)
			if got := time.Since(began); got < test.least || got > test.most {
				t.Errorf("returned after %v, want %v to %v", got, test.least, test.most)
			}
			if e.Took > test.most/2 || e.Healthy {
				t.Errorf("evidence: got %+v, want the time until the deadline", e)
			}
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
	r.pool.Close("t1")
	check(t, r.send(t.Context(), sub(soon)), magnoliashore.OutcomeNotRun, magnoliashore.ReasonLeaving)
	if _, err := r.pool.Probe(t.Context(), r.target); err == nil {
		t.Error("probe: got no error, want one")
	}
}
