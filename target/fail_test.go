package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// hold returns a handler that answers one request and, if keep, leaves the
// connection open until done.
func hold(reply string, keep bool, done <-chan struct{}) func(*net.TCPConn) {
	answer := script(reply)
	return func(c *net.TCPConn) {
		answer(c)
		if keep {
			<-done
		}
	}
}

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
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
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

// whollyRead reads one request with its body.
func whollyRead(b *bufio.Reader) bool {
	r, err := http.ReadRequest(b)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
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
			script(good + whole)(c)
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

func TestUnopened(t *testing.T) {
	t.Parallel()
	r := newRig(t, serve(t, answer), 1)
	r.pool.Close("t1")
	check(t, r.send(t.Context(), sub(soon)), magnoliashore.OutcomeNotRun, magnoliashore.ReasonLeaving)
	if _, err := r.pool.Probe(t.Context(), r.target); err == nil {
		t.Error("probe: got no error, want one")
	}
}
