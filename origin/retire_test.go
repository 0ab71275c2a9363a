package origin_test

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
)

// maxNotice is the time within which an attempt must notice that its target has left,
// a small part of the time for which it would wait otherwise.
const maxNotice = 250 * time.Millisecond

// view is what a pool knows of the targets.
type view struct{ current atomic.Pointer[catalog.View] }

func (v *view) set(targets ...*catalog.Target) { v.current.Store(catalog.NewView(nil, targets)) }

func (v *view) target(id magnoliashore.TargetID) *catalog.Target { return v.current.Load().Target(id) }

// drop takes all targets out of use.
func (v *view) drop(p *origin.Pool) {
	v.set()
	p.Retain()
}

// holdFirst starts a target that answers no request until release is called, and
// returns how many it has received.
func holdFirst(t *testing.T, answer string) (s *fakeTarget, received *atomic.Int32, release func()) {
	t.Helper()
	received = new(atomic.Int32)
	released := make(chan struct{})
	s = startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, ok := readRequest(r)
			if !ok {
				return
			}
			received.Add(1)
			<-released
			reply(c, "HTTP/1.1 200 OK\nEcho: "+id+"\n"+answer+"Content-Length: 2\n\nok")
		}
	})
	release = func() { close(released) }
	return s, received, release
}

func newViewCaller(s *fakeTarget) (*caller, *view) {
	c := newCaller(s)
	c.maxConnections = 1
	v := new(view)
	v.set(c.target)
	c.pool.Lookup = v.target
	return c, v
}

// start makes an attempt in the background.
func (c *caller) start(ctx context.Context, id string) <-chan origin.Result {
	done := make(chan origin.Result, 1)
	go func() { done <- c.do(ctx, id, "") }()
	return done
}

// wantUnsent checks that an attempt ends soon with an error and was not sent.
func wantUnsent(t *testing.T, done <-chan origin.Result, want error) {
	t.Helper()
	select {
	case got := <-done:
		if got.Sent || !errors.Is(got.Err, want) || !got.Inconclusive() {
			t.Errorf("got sent %t and error %v, want an attempt that was not sent, since %v", got.Sent, got.Err, want)
		}
	case <-time.After(maxNotice):
		t.Errorf("the attempt still waits %s after its target has left", maxNotice)
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: not reached within 1 s", what)
}

// TestRequestIsStrandedAtATargetThatLeaves guards against requests that wait for a
// connection until their time is over although the target has left, and against
// sending them to it when a connection becomes free or is closed.
func TestRequestIsStrandedAtATargetThatLeaves(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{"the connection is returned": "", "the connection is closed": "Connection: close\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, received, release := holdFirst(t, answer)
			c, v := newViewCaller(s)
			first := c.start(t.Context(), "a")
			waitFor(t, "the target has the first request", func() bool { return received.Load() == 1 })
			second := c.start(t.Context(), "b")
			time.Sleep(20 * time.Millisecond) // it waits for the connection
			v.drop(c.pool)
			wantUnsent(t, second, origin.ErrTargetGone)
			release()
			wantStatus(t, "the request that was sent", <-first, 200)
			time.Sleep(20 * time.Millisecond)
			if got := received.Load(); got != 1 {
				t.Errorf("got %d requests at the target, want the one from before it left", got)
			}
		})
	}
}

// TestRequestIsSentAfterTheTargetLeft guards against an attempt that chose its target
// before it left, and opens connections of its own to it afterwards.
func TestRequestIsSentAfterTheTargetLeft(t *testing.T) {
	t.Parallel()
	s, received, release := holdFirst(t, "")
	release()
	c, v := newViewCaller(s)
	v.drop(c.pool)
	wantUnsent(t, c.start(t.Context(), "a"), origin.ErrTargetGone)
	if got := received.Load(); got != 0 {
		t.Errorf("got %d requests at the target, want none", got)
	}
}

// TestRequestIsSentOverALateConnection guards against sending a request over a
// connection that opens only after the target has left.
func TestRequestIsSentOverALateConnection(t *testing.T) {
	t.Parallel()
	s, received, release := holdFirst(t, "")
	release()
	c, v := newViewCaller(s)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	c.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialing)
		<-proceed
		return new(net.Dialer).DialContext(context.WithoutCancel(ctx), network, address)
	}
	done := c.start(t.Context(), "a")
	<-dialing
	v.drop(c.pool)
	close(proceed)
	wantUnsent(t, done, origin.ErrTargetGone)
	if got := received.Load(); got != 0 {
		t.Errorf("got %d requests at the target, want none", got)
	}
}

// TestDialToATargetThatLeftIsWaitedFor guards against waiting for a connection to open
// although the target has left.
func TestDialToATargetThatLeftIsWaitedFor(t *testing.T) {
	t.Parallel()
	s, _, release := holdFirst(t, "")
	release()
	c, v := newViewCaller(s)
	dialing := make(chan struct{})
	c.pool.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	done := c.start(t.Context(), "a")
	<-dialing
	v.drop(c.pool)
	wantUnsent(t, done, origin.ErrTargetGone)
}

// TestOldAddressReplacesTheNewOne guards against an attempt with an outdated address,
// which retired the connections to the new one and had others wait there in vain.
func TestOldAddressReplacesTheNewOne(t *testing.T) {
	t.Parallel()
	old, oldReceived, release := holdFirst(t, "")
	release()
	moved := startTarget(t, echoIDs)
	c, v := newViewCaller(old)
	outdated := *c
	c.target = moved.target()
	v.set(c.target)
	c.pool.Retain()
	wantStatus(t, "the new address", c.do(t.Context(), "a", ""), 200)
	wantUnsent(t, outdated.start(t.Context(), "b"), origin.ErrTargetGone)
	wantStatus(t, "the new address again", c.do(t.Context(), "c", ""), 200)
	if got := moved.opened.Load(); got != 1 || oldReceived.Load() != 0 {
		t.Errorf("got %d connections to the new address and %d requests at the old one, want 1 and 0", got, oldReceived.Load())
	}
}

// TestConnectionsAreMiscountedAfterDistrust guards against a slot that is freed twice,
// by distrust and by the return of the connection, around the return of its target.
func TestConnectionsAreMiscountedAfterDistrust(t *testing.T) {
	t.Parallel()
	s, received, release := holdFirst(t, "")
	c, v := newViewCaller(s)
	first := c.start(t.Context(), "a")
	waitFor(t, "the target has the first request", func() bool { return received.Load() == 1 })
	time.Sleep(350 * time.Millisecond) // longer than the pool trusts a silent connection
	c.pool.DistrustKept()
	second := c.start(t.Context(), "b") // takes the slot that distrust has freed
	waitFor(t, "the target has the second request", func() bool { return received.Load() == 2 })
	third := c.start(t.Context(), "c")
	time.Sleep(20 * time.Millisecond)
	v.drop(c.pool)
	wantUnsent(t, third, origin.ErrTargetGone)
	release()
	wantStatus(t, "the distrusted connection", <-first, 200)
	wantStatus(t, "the other connection", <-second, 200)
	v.set(c.target)
	for _, id := range []string{"d", "e"} {
		wantStatus(t, "the target is back", c.do(t.Context(), id, ""), 200)
	}
	if got := s.opened.Load(); got != 3 {
		t.Errorf("got %d connections, want 3: two from before, one that two requests share", got)
	}
}

// TestWithdrawnRequestIsSent guards against requests that a stopping host still sends
// after it has withdrawn them, and against waits that its stop does not end.
func TestWithdrawnRequestIsSent(t *testing.T) {
	t.Parallel()
	s, received, release := holdFirst(t, "")
	c, _ := newViewCaller(s)
	withdraw := make(chan struct{})
	c.withdraw = withdraw
	first := c.start(t.Context(), "a")
	waitFor(t, "the target has the first request", func() bool { return received.Load() == 1 })
	second := c.start(t.Context(), "b")
	time.Sleep(20 * time.Millisecond)
	close(withdraw)
	wantUnsent(t, second, origin.ErrWithdrawn)
	release()
	wantStatus(t, "the request that was sent", <-first, 200)
	wantUnsent(t, c.start(t.Context(), "c"), origin.ErrWithdrawn)
	if got := received.Load(); got != 1 {
		t.Errorf("got %d requests at the target, want 1", got)
	}
}
