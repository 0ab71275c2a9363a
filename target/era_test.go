package target

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// TestBreakAfterTheBelief has all connections of a target break between the
// moment at which a host believed it to be warm and the send: the target may
// be a new, cold process, so the request is not sent on a new connection, not
// even inside the host's lease.
func TestBreakAfterTheBelief(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answer(w, r)
	}))
	t.Cleanup(s.Close)
	r := newRig(t, s.Listener.Addr().String(), 2)
	check(t, r.send(t.Context(), sub(soon)), "ran", "")
	era := r.pool.Era("t1")
	s.CloseClientConnections()
	eventually(t, "states", r.states.text, "[up down]")
	permit := magnoliashore.Permit{Standing: true, Lease: time.Now().Add(soon), Era: era}
	for range 2 {
		a, _ := r.pool.Send(t.Context(), sub(soon), r.target, permit)
		check(t, a, "notrun", "lease")
	}
	permit.Era = r.pool.Era("t1")
	a, _ := r.pool.Send(t.Context(), sub(soon), r.target, permit)
	check(t, a, "ran", "")
	if got := runs.Load(); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
}

// TestDialNotesOldBreaks opens a connection while the end of an older one has
// not been read: the break is reported before the new connection is used.
func TestDialNotesOldBreaks(t *testing.T) {
	t.Parallel()
	var accepted atomic.Int32
	over := make(chan struct{})
	r := newRig(t, raw(t, func(*net.TCPConn) {
		if accepted.Add(1) > 1 {
			<-over // the first connection is ended at once, the second one stands
		}
	}), 2)
	t.Cleanup(func() { close(over) })
	old, err := r.pool.current("t1").dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end has arrived, unread", func() bool {
		own, ok := old.(*conn)
		return ok && ended(own.Conn)
	}, true)
	fresh, err := r.pool.current("t1").dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := r.states.text(), "[up down up]"; got != want {
		t.Errorf("got states %s, want %s", got, want)
	}
	if own, ok := fresh.(*conn); !ok || own.era != 1 {
		t.Errorf("got connection %+v, want one of era 1", own)
	}
	_, _ = old.Close(), fresh.Close()
}
