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

// gauge is a listener that counts its open connections.
type gauge struct {
	net.Listener
	now, most atomic.Int32
}

func (g *gauge) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := g.now.Add(1)
	for most := g.most.Load(); n > most && !g.most.CompareAndSwap(most, n); most = g.most.Load() {
	}
	return &counted{Conn: c, gauge: g}, nil
}

type counted struct {
	net.Conn
	gauge *gauge
	once  sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.gauge.now.Add(-1) })
	return c.Conn.Close()
}

func TestConnsLimit(t *testing.T) {
	t.Parallel()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		answer(w, r)
	}))
	g := &gauge{Listener: s.Listener}
	s.Listener = g
	s.Start()
	t.Cleanup(s.Close)
	r := newRig(t, s.Listener.Addr().String(), 3)
	var ran atomic.Int32
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			if i == 30 {
				r.pool.Open(r.target, 2) // a new transport beside the old one
			}
			if r.send(t.Context(), sub(soon)).Outcome() == magnoliashore.OutcomeRan {
				ran.Add(1)
			}
		})
	}
	all.Wait()
	if got, want := ran.Load(), int32(60); got != want {
		t.Errorf("ran: got %d, want %d", got, want)
	}
	if got, limit := g.most.Load(), int32(3); got > limit {
		t.Errorf("connections at the target: got %d, want at most %d", got, limit)
	}
	eventually(t, "conns", func() bool { return r.pool.Conns("t1") <= 2 }, true)
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
	go func() { old <- r.send(t.Context(), sub(soon)) }()
	<-arrived
	r.pool.Open(moved, 1)
	check(t, r.send(t.Context(), sub(soon)), magnoliashore.OutcomeNotRun, magnoliashore.ReasonLeaving)
	a, _ := r.pool.Send(t.Context(), sub(soon), moved, time.Time{})
	check(t, a, magnoliashore.OutcomeRan, "")
	close(release)
	check(t, <-old, magnoliashore.OutcomeRan, "")
	if got, want := r.states.text(), "[up down up]"; got != want {
		t.Errorf("states: got %s, want %s", got, want)
	}
	r.pool.Open(moved, 1) // no change
	if got, want := r.pool.Conns("t1"), 1; got != want {
		t.Errorf("conns: got %d, want %d", got, want)
	}
}

func TestStates(t *testing.T) {
	t.Parallel()
	s := &states{}
	w := &watch{notes: &notes{report: func(x State) { s.add("t1", x) }}}
	steps := []struct {
		name string
		do   func()
		want string
	}{
		{"first", w.opened, "[up]"},
		{"second", w.opened, "[up]"},
		{"one breaks", w.broke, "[up down up]"},
		{"third", w.opened, "[up down up]"},
		{"one closed", w.closed, "[up down up]"},
		{"last closed", w.closed, "[up down up down]"},
		{"again", w.opened, "[up down up down up]"},
		{"retired", w.retire, "[up down up down up down]"},
		{"after", w.broke, "[up down up down up down]"},
	}
	for _, step := range steps {
		step.do()
		if got := s.text(); got != step.want {
			t.Errorf("%s: got %s, want %s", step.name, got, step.want)
		}
	}
}

func TestUserTimeout(t *testing.T) {
	t.Parallel()
	r := newRig(t, serve(t, answer), 1)
	c, err := r.pool.current("t1").dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	tcp, ok := c.(*conn).Conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("conn: got %T, want TCP", c)
	}
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
		if got, want := r.pool.Conns("t1"), 1; got != want {
			t.Errorf("%s: conns: got %d, want %d", test.body, got, want)
		}
	}
}

func BenchmarkSend(b *testing.B) {
	r := newRig(b, serve(b, answer), 4)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if a := r.send(ctx, sub(soon)); a.Outcome() != magnoliashore.OutcomeRan {
			b.Fatalf("got %v %v, want ran", a.Outcome(), a.Reason())
		}
	}
}
