package target

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func TestNotSent(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		deadline time.Duration // from now
		notAfter time.Duration // from now; zero: none
		slow     time.Duration // of the dial
		refused  bool          // the dial
		reason   string
	}{
		{"lease over", soon, -time.Second, 0, false, "lease"},
		{"deadline over", -time.Second, 0, 0, false, "deadline"},
		{"deadline before lease", -time.Second, soon, 0, false, "deadline"},
		{"both over", -time.Second, -2 * time.Second, 0, false, "lease"},
		{"lease ends during the dial", soon, 20 * time.Millisecond, 80 * time.Millisecond, false, "lease"},
		{"deadline ends during the dial", 20 * time.Millisecond, 0, 500 * time.Millisecond, false, "unreachable"},
		{"dial refused", soon, 0, 0, true, "unreachable"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			address := serve(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			if test.refused {
				gone := httptest.NewServer(nil)
				gone.Close()
				address = gone.Listener.Addr().String()
			}
			r := newRig(t, address, 1)
			r.pool.current("t1").dialer.Control = func(string, string, syscall.RawConn) error {
				time.Sleep(test.slow)
				return nil
			}
			var notAfter time.Time
			if test.notAfter != 0 {
				notAfter = time.Now().Add(test.notAfter)
			}
			a, _ := r.pool.Send(t.Context(), sub(test.deadline), r.target, magnoliashore.Permit{NotAfter: notAfter})
			check(t, a, "notrun", test.reason)
			if got := r.states.text(); test.refused && got != "[]" {
				t.Errorf("states: got %s, want none", got)
			}
			if got := runs.Load(); got != 0 {
				t.Errorf("runs: got %d, want 0", got)
			}
		})
	}
}

// With an empty body the transport may try every idle connection in turn.
// A passed gate must end the exchange at the first one.
func TestGateSparesOtherConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	r := newRig(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer(w, r)
	}), 3)
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() { r.send(t.Context(), sub(soon)) })
	}
	eventually(t, "conns", r.conns, 3)
	close(release)
	all.Wait()
	s := magnoliashore.NewSub(magnoliashore.SubSpec{ID: 7, Partition: "p1", Target: "t1", Snapshot: 3})
	x := &exchange{pool: r.pool, link: r.pool.current("t1"), sub: s, attempt: newAttempt(r.pool.Clock, s, magnoliashore.Permit{NotAfter: time.Now().Add(-1)})}
	ctx, stop := context.WithCancelCause(t.Context())
	x.attempt.stop = func() { stop(errStop) }
	a, _ := x.run(ctx)
	check(t, a, "notrun", "lease")
	eventually(t, "conns", r.conns, 2)
}

// A write that blocks ends at the gate, also if the request was cancelled
// before, and what the target has not taken by then never reaches it.
func TestGateEndsBlockedWrite(t *testing.T) {
	t.Parallel()
	for name, early := range map[string]bool{"gate": false, "cancelled before": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resume, read := make(chan struct{}), make(chan error, 1)
			r := newRig(t, raw(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1)) // the write has begun
				if early {
					time.Sleep(soon / 10) // until the buffers are full
					cancel()
				}
				<-resume
				_, err := io.Copy(io.Discard, c)
				read <- err
			}), 1)
			r.release(soon)
			s := magnoliashore.NewSub(magnoliashore.SubSpec{
				ID: 7, Partition: "p1", Target: "t1", Snapshot: 3, Deadline: time.Now().Add(soon), Body: make([]byte, 32<<20),
			})
			began := time.Now()
			a, _ := r.pool.Send(ctx, s, r.target, magnoliashore.Permit{NotAfter: began.Add(soon / 4)})
			check(t, a, "unknown", map[bool]string{false: "deadline", true: "cancelled"}[early])
			if got, want := time.Since(began), soon/2; got > want {
				t.Errorf("took: got %v, want less than %v", got, want)
			}
			r.pool.Close("t1")
			close(resume)
			if got, want := <-read, syscall.ECONNRESET; !errors.Is(got, want) {
				t.Errorf("end of stream at the target: got %v, want %v", got, want)
			}
		})
	}
}

// hand is a clock that is set by hand.
type hand struct{ now time.Time }

func (h *hand) Now() time.Time { return h.now }

func TestGateByClock(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	clock := &hand{now: time.Now()}
	s := sub(time.Hour)
	a := newAttempt(clock, s, magnoliashore.Permit{})
	c := &conn{Conn: near}
	c.attach(a)
	clock.now = s.Deadline()
	n, err := c.Write([]byte("x"))
	if !errors.Is(err, errGate) || n != 0 {
		t.Errorf("write at the gate: got %d, %v, want 0, %v", n, err, errGate)
	}
	if !a.seal() {
		t.Error("untouched: got false, want true")
	}
}

func TestAttempt(t *testing.T) {
	t.Parallel()
	var one, two conn
	tests := []struct {
		name      string
		do        func(a *attempt)
		may       bool // the connection one may write
		untouched bool // certainly nothing was written
	}{
		{"fresh", func(*attempt) {}, true, false},
		{"going on", func(a *attempt) { _ = a.begin(&one) }, true, false},
		{"another connection has begun", func(a *attempt) { _ = a.begin(&two) }, false, false},
		{"sealed", func(a *attempt) { a.seal() }, false, true},
		{"nothing went out", func(a *attempt) { _ = a.begin(&one); a.empty() }, false, true},
	}
	for _, test := range tests {
		a := free(nil)
		test.do(a)
		if got := a.begin(&one) == nil; got != test.may {
			t.Errorf("%s: may write: got %v, want %v", test.name, got, test.may)
		}
		if got := a.seal(); got != test.untouched {
			t.Errorf("%s: untouched: got %v, want %v", test.name, got, test.untouched)
		}
	}
}

// Requests that are given up at random moments: none that was answered
// "notrun" may ever reach the target, and none arrives twice.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	seen := map[uint64]int{}
	r := newRig(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.Header.Get(headerRequest), 10, 64)
		mu.Lock()
		seen[id]++
		mu.Unlock()
		answer(w, r)
	}), 8)
	outcomes := make([]magnoliashore.Outcome, 4000)
	var all sync.WaitGroup
	for worker := range 16 {
		all.Go(func() {
			for i := worker; i < len(outcomes); i += 16 {
				ctx, cancel := context.WithTimeout(t.Context(), rand.N(400*time.Microsecond))
				s := magnoliashore.NewSub(magnoliashore.SubSpec{ID: uint64(i), Partition: "p1", Target: "t1", Snapshot: 3, Once: true})
				outcomes[i] = r.send(ctx, s).Outcome()
				cancel()
			}
		})
	}
	all.Wait()
	r.pool.Close("t1")
	eventually(t, "conns", r.conns, 0)
	time.Sleep(50 * time.Millisecond) // for what a closed connection may still deliver
	mu.Lock()
	defer mu.Unlock()
	counts := map[magnoliashore.Outcome]int{}
	for i, outcome := range outcomes {
		counts[outcome]++
		if n := seen[uint64(i)]; n > 1 || (n > 0 && outcome == magnoliashore.OutcomeNotRun) {
			t.Errorf("request %d: arrived %d times, answered %v", i, n, outcome)
		}
	}
	t.Logf("outcomes: %v", counts)
}
