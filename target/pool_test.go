package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore"
)

// countingListener is a listener that counts its open connections.
type countingListener struct {
	net.Listener
	mu         sync.Mutex
	open, peak int
}

func (l *countingListener) add(d int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += d
	l.peak = max(l.peak, l.open)
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.add(1)
	}
	return &countedConn{Conn: c, ended: sync.OnceFunc(func() { l.add(-1) })}, err
}

type countedConn struct {
	net.Conn
	ended func()
}

func (c *countedConn) Close() error {
	c.ended()
	return c.Conn.Close()
}

func TestConnsLimit(t *testing.T) {
	t.Parallel()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		answer(w, r)
	}))
	l := &countingListener{Listener: s.Listener}
	s.Listener = l
	s.Start()
	t.Cleanup(s.Close)
	r := newRig(t, s.Listener.Addr().String(), 3)
	var ran atomic.Int32
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			if i == 30 {
				r.pool.Open(r.target, 2) // replaces the transport while the old one is in use
			}
			if r.send(t.Context(), sub(testTimeout)).Outcome() == magnoliashore.OutcomeRan {
				ran.Add(1)
			}
		})
	}
	all.Wait()
	if got, want := ran.Load(), int32(60); got != want {
		t.Errorf("ran: got %d, want %d", got, want)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if got, limit := l.peak, 3; got > limit {
		t.Errorf("connections at the target: got %d, want at most %d", got, limit)
	}
	eventually(t, "conns", func() bool { return r.conns() <= 2 }, true)
}

func TestOpenAtNewAddress(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	arrived := make(chan struct{})
	r := newRig(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		answer(w, r)
	}), 1)
	moved := magnoliashore.NewTarget("t1", "look", "a", serve(t, answer))
	old := make(chan magnoliashore.SubAnswer, 1)
	go func() { old <- r.send(t.Context(), sub(testTimeout)) }()
	<-arrived
	r.pool.Open(moved, 1)
	check(t, r.send(t.Context(), sub(testTimeout)), "notrun", "leaving")
	a, _ := r.pool.Send(t.Context(), sub(testTimeout), moved, magnoliashore.Permit{})
	check(t, a, "ran", "")
	close(release)
	check(t, <-old, "ran", "")
	if got, want := r.states.text(), "[up down up]"; got != want {
		t.Errorf("states: got %s, want %s", got, want)
	}
	r.pool.Open(moved, 1) // no change
	if got, want := r.conns(), 1; got != want {
		t.Errorf("conns: got %d, want %d", got, want)
	}
}

func TestStates(t *testing.T) {
	t.Parallel()
	s := &states{}
	w := &connCounter{notifier: &notifier{report: func(x State) { s.add("t1", x) }}}
	steps := []struct {
		do   func()
		want string
	}{
		{w.opened, "[up]"},
		{w.opened, "[up]"},
		{w.broken, "[up down up]"},
		{w.opened, "[up down up]"},
		{w.closed, "[up down up]"},
		{w.closed, "[up down up closed]"},
		{w.opened, "[up down up closed up]"},
		{w.retire, "[up down up closed up down]"},
		{w.broken, "[up down up closed up down]"},
	}
	for i, step := range steps {
		step.do()
		if got := s.text(); got != step.want {
			t.Errorf("step %d: got %s, want %s", i, got, step.want)
		}
	}
}

func TestUserTimeout(t *testing.T) {
	t.Parallel()
	r := newRig(t, serve(t, answer), 1)
	c, err := r.pool.currentLink("t1").dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	own, _ := c.(*conn)
	tcp, _ := own.Conn.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	err = raw.Control(func(fd uintptr) {
		got, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if want := 1000; err != nil || got != want {
		t.Errorf("user timeout: got %d ms, %v, want %d ms", got, err, want)
	}
}

func TestProbe(t *testing.T) {
	t.Parallel()
	tests := []struct {
		body string
		want Health
		ok   bool
	}{
		{`{"state":"cold","busy":1,"slots":2,"load":0.5,"incarnation":"x"}`, Health{"cold", 1, 2, 0.5, "x"}, true},
		{`{"state":"drain"}`, Health{state: "drain"}, true},
		{`{"state":"hot"}`, Health{}, false},
		{`{"state":`, Health{}, false},
	}
	for _, test := range tests {
		r := newRig(t, serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(test.body)) }), 1)
		got, err := r.pool.Probe(t.Context(), r.target)
		if got != test.want || (err == nil) != test.ok {
			t.Errorf("%s: got %+v, %v, want %+v", test.body, got, err, test.want)
		}
		if got, want := r.conns(), 1; got != want {
			t.Errorf("%s: conns: got %d, want %d", test.body, got, want)
		}
	}
}

func BenchmarkSend(b *testing.B) {
	r := newRig(b, serve(b, answer), 4)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if a := r.send(ctx, sub(testTimeout)); a.Outcome() != magnoliashore.OutcomeRan {
			b.Fatalf("got %v %v, want ran", a.Outcome(), a.Reason())
		}
	}
}
