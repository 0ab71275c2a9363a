package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/timer"
)

// testTimeout limits how long a test waits for an expected event.
const testTimeout = 5 * time.Second

// answer replies as the target protocol requires.
func answer(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{headerRequest, headerPartition, headerSnapshot} {
		w.Header().Set(name, r.Header.Get(name))
	}
	w.Header().Set(headerIncarnation, "i1")
	w.Header().Set(headerState, "warm")
	_, _ = w.Write([]byte("part"))
}

// serve starts an HTTP target and returns its address.
func serve(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// serveTCP starts a target that passes each connection to handle, and returns
// its address.
func serveTCP(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		all.Wait()
	})
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer func() { _ = c.Close() }()
				if tcp, ok := c.(*net.TCPConn); ok {
					handle(tcp)
				}
			})
		}
	})
	return l.Addr().String()
}

// replyOnce returns a connection handler that reads one request and writes
// text. Then it closes the connection ("cut"), resets it ("reset"), or waits
// until the other side closes it.
func replyOnce(text, then string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		if !readRequest(bufio.NewReader(c)) {
			return
		}
		_, _ = io.WriteString(c, text)
		switch then {
		case "cut":
		case "reset":
			reset(c)
		default:
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// readRequest reads one request with its body and reports whether it was
// complete.
func readRequest(b *bufio.Reader) bool {
	r, err := http.ReadRequest(b)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// states records the states that OnState receives.
type states struct {
	mu       sync.Mutex
	reported []State
}

func (s *states) add(_ magnoliashore.TargetID, state State) {
	s.mu.Lock()
	s.reported = append(s.reported, state)
	s.mu.Unlock()
}

func (s *states) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.reported)
}

// eventually waits until got returns want.
func eventually[T comparable](t *testing.T, what string, got func() T, want T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got() == want {
			return
		}
	}
	t.Fatalf("%s: got %v, want %v", what, got(), want)
}

// rig is a pool with one open target.
type rig struct {
	pool   *Pool
	target magnoliashore.Target
	states *states
}

func newRig(t testing.TB, address string, conns int) *rig {
	t.Helper()
	s := &states{}
	r := &rig{
		pool:   &Pool{Clock: &timer.Service{}, UserTimeout: time.Second, OnState: s.add},
		target: magnoliashore.NewTarget("t1", "look", "a", address),
		states: s,
	}
	r.pool.Open(r.target, conns)
	t.Cleanup(func() { r.pool.Close("t1") })
	return r
}

// sub returns a sub-request whose deadline is within from now.
func sub(within time.Duration) magnoliashore.Sub {
	return magnoliashore.NewSub(magnoliashore.SubSpec{
		ID: 7, Query: "q", Partition: "p1", Target: "t1", Snapshot: 3,
		Deadline: time.Now().Add(within), Once: true, Body: []byte("{}"),
	})
}

func (r *rig) send(ctx context.Context, s magnoliashore.Sub) magnoliashore.SubAnswer {
	a, _ := r.pool.Send(ctx, s, r.target, magnoliashore.Permit{})
	return a
}

// reopen opens the target again with another Pool.ReleaseTimeout and without
// TCP_USER_TIMEOUT.
func (r *rig) reopen(d time.Duration) {
	r.pool.Close("t1")
	r.pool.ReleaseTimeout, r.pool.UserTimeout = d, 0
	r.pool.Open(r.target, 1)
}

func (r *rig) conns() int { return r.pool.Conns("t1") }

// check compares the outcome and the reason of an answer. Only an answer that
// ran may have a body.
func check(t *testing.T, a magnoliashore.SubAnswer, outcome, reason string) {
	t.Helper()
	if got, want := a.Outcome().String()+" "+string(a.Reason()), outcome+" "+reason; got != want {
		t.Errorf("outcome: got %q, want %q", got, want)
	}
	if a.Outcome() != magnoliashore.OutcomeRan && a.Body() != nil {
		t.Errorf("body: got %q, want none", a.Body())
	}
}

// validReply is a complete and valid reply.
const validReply = "HTTP/1.1 200 OK\r\nRequest: 7\r\nPartition: p1\r\nSnapshot: 3\r\nContent-Length: 4\r\n\r\npart"
