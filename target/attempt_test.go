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
		name        string
		deadline    time.Duration // from now
		notAfter    time.Duration // from now; zero means none
		dialDelay   time.Duration
		dialRefused bool
		reason      string
	}{
		{"lease ended", testTimeout, -time.Second, 0, false, "lease"},
		{"deadline passed", -time.Second, 0, 0, false, "deadline"},
		{"deadline before lease", -time.Second, testTimeout, 0, false, "deadline"},
		{"both passed", -time.Second, -2 * time.Second, 0, false, "lease"},
		{"lease ends during the dial", testTimeout, 20 * time.Millisecond, 80 * time.Millisecond, false, "lease"},
		{"deadline ends during the dial", 20 * time.Millisecond, 0, 500 * time.Millisecond, false, "unreachable"},
		{"dial refused", testTimeout, 0, 0, true, "unreachable"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			address := serve(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			if test.dialRefused {
				gone := httptest.NewServer(nil)
				gone.Close()
				address = gone.Listener.Addr().String()
			}
			r := newRig(t, address, 1)
			r.pool.currentLink("t1").dialer.Control = func(string, string, syscall.RawConn) error {
				time.Sleep(test.dialDelay)
				return nil
			}
			var notAfter time.Time
			if test.notAfter != 0 {
				notAfter = time.Now().Add(test.notAfter)
			}
			a, _ := r.pool.Send(t.Context(), sub(test.deadline), r.target, magnoliashore.Permit{NotAfter: notAfter})
			check(t, a, "notrun", test.reason)
			if got := r.states.text(); test.dialRefused && got != "[]" {
				t.Errorf("states: got %s, want none", got)
			}
			if got := runs.Load(); got != 0 {
				t.Errorf("runs: got %d, want 0", got)
			}
		})
	}
}

// TestWriteDeadlineEndsExchangeAtFirstConnection sends a request after its
// write deadline. With an empty body the transport may try every idle
// connection in turn, so the exchange must end at the first one.
func TestWriteDeadlineEndsExchangeAtFirstConnection(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	r := newRig(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer(w, r)
	}), 3)
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() { r.send(t.Context(), sub(testTimeout)) })
	}
	eventually(t, "conns", r.conns, 3)
	close(release)
	all.Wait()
	s := magnoliashore.NewSub(magnoliashore.SubSpec{ID: 7, Partition: "p1", Target: "t1", Snapshot: 3})
	x := &exchange{pool: r.pool, link: r.pool.currentLink("t1"), sub: s, attempt: newAttempt(r.pool.Clock, s, magnoliashore.Permit{NotAfter: time.Now().Add(-1)})}
	ctx, stop := context.WithCancelCause(t.Context())
	x.attempt.abort = func() { stop(errNotWritten) }
	a, _ := x.run(ctx)
	check(t, a, "notrun", "lease")
	eventually(t, "conns", r.conns, 2)
}

// TestWriteDeadlineEndsBlockedWrite blocks a write on full buffers. It must
// end at the write deadline, also if the request was cancelled before, and
// what the target has not received by then must never reach it.
func TestWriteDeadlineEndsBlockedWrite(t *testing.T) {
	t.Parallel()
	for name, early := range map[string]bool{"write deadline": false, "cancelled before": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resume, read := make(chan struct{}), make(chan error, 1)
			r := newRig(t, serveTCP(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1)) // the write has begun
				if early {
					time.Sleep(testTimeout / 10) // until the buffers are full
					cancel()
				}
				<-resume
				_, err := io.Copy(io.Discard, c)
				read <- err
			}), 1)
			r.reopen(testTimeout)
			s := magnoliashore.NewSub(magnoliashore.SubSpec{
				ID: 7, Partition: "p1", Target: "t1", Snapshot: 3, Deadline: time.Now().Add(testTimeout), Body: make([]byte, 32<<20),
			})
			began := time.Now()
			a, _ := r.pool.Send(ctx, s, r.target, magnoliashore.Permit{NotAfter: began.Add(testTimeout / 4)})
			check(t, a, "unknown", map[bool]string{false: "deadline", true: "cancelled"}[early])
			if got, want := time.Since(began), testTimeout/2; got > want {
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

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func TestWriteDeadlineUsesTheClock(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	clock := &manualClock{now: time.Now()}
	s := sub(time.Hour)
	a := newAttempt(clock, s, magnoliashore.Permit{})
	c := &conn{Conn: near}
	c.attach(a)
	clock.now = s.Deadline()
	n, err := c.Write([]byte("x"))
	if !errors.Is(err, errWriteDeadline) || n != 0 {
		t.Errorf("write at the deadline: got %d, %v, want 0, %v", n, err, errWriteDeadline)
	}
	if !a.revoke() {
		t.Error("nothing written: got false, want true")
	}
}

func TestAttempt(t *testing.T) {
	t.Parallel()
	var one, two conn
	tests := []struct {
		name           string
		do             func(a *attempt)
		mayWrite       bool // the connection one may write
		nothingWritten bool // it is certain that nothing was written
	}{
		{"unwritten", func(*attempt) {}, true, false},
		{"already writing", func(a *attempt) { _ = a.claim(&one) }, true, false},
		{"another connection is writing", func(a *attempt) { _ = a.claim(&two) }, false, false},
		{"revoked", func(a *attempt) { a.revoke() }, false, true},
		{"the write failed", func(a *attempt) { _ = a.claim(&one); a.recordFailure() }, false, true},
	}
	for _, test := range tests {
		a := newUnlimited(nil)
		test.do(a)
		if got := a.claim(&one) == nil; got != test.mayWrite {
			t.Errorf("%s: may write: got %v, want %v", test.name, got, test.mayWrite)
		}
		if got := a.revoke(); got != test.nothingWritten {
			t.Errorf("%s: nothing written: got %v, want %v", test.name, got, test.nothingWritten)
		}
	}
}

// TestNotRunNeverReachesTarget cancels requests at random moments: none that
// is reported as "notrun" may ever reach the target, and none may reach it
// twice.
func TestNotRunNeverReachesTarget(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	arrivals := map[uint64]int{}
	r := newRig(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.Header.Get(headerRequest), 10, 64)
		mu.Lock()
		arrivals[id]++
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
	time.Sleep(50 * time.Millisecond) // a closed connection may still deliver data
	mu.Lock()
	defer mu.Unlock()
	counts := map[magnoliashore.Outcome]int{}
	for i, outcome := range outcomes {
		counts[outcome]++
		if n := arrivals[uint64(i)]; n > 1 || (n > 0 && outcome == magnoliashore.OutcomeNotRun) {
			t.Errorf("request %d: arrived %d times, answered %v", i, n, outcome)
		}
	}
	t.Logf("outcomes: %v", counts)
}
