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

// TestNoNewConnectionAfterBreak breaks all connections of a target after a
// host has estimated it to be warm and before the host sends. The target may
// be a new, cold process, so the request must not be sent on a new connection,
// not even during the lease of the host.
func TestNoNewConnectionAfterBreak(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answer(w, r)
	}))
	t.Cleanup(s.Close)
	r := newRig(t, s.Listener.Addr().String(), 2)
	check(t, r.send(t.Context(), sub(testTimeout)), "ran", "")
	breaks := r.pool.ReportedBreaks("t1")
	s.CloseClientConnections()
	eventually(t, "states", r.states.text, "[up down]")
	permit := magnoliashore.Permit{OpenConnOnly: true, LeaseEnd: time.Now().Add(testTimeout), ReportedBreaks: breaks}
	for range 2 {
		a, _ := r.pool.Send(t.Context(), sub(testTimeout), r.target, permit)
		check(t, a, "notrun", "lease")
	}
	permit.ReportedBreaks = r.pool.ReportedBreaks("t1")
	a, _ := r.pool.Send(t.Context(), sub(testTimeout), r.target, permit)
	check(t, a, "ran", "")
	if got := runs.Load(); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
}

// TestDialReportsEarlierBreaks opens a connection while the end of an older
// one has not been read: the break must be reported before the new connection
// is used.
func TestDialReportsEarlierBreaks(t *testing.T) {
	t.Parallel()
	var accepted atomic.Int32
	end := make(chan struct{})
	r := newRig(t, serveTCP(t, func(*net.TCPConn) {
		if accepted.Add(1) > 1 {
			<-end // the first connection ends at once, the second one stays open
		}
	}), 2)
	t.Cleanup(func() { close(end) })
	old, err := r.pool.currentLink("t1").dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "unread end of the old connection", func() bool {
		own, ok := old.(*conn)
		return ok && atEOF(own.Conn)
	}, true)
	fresh, err := r.pool.currentLink("t1").dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := r.states.text(), "[up down up]"; got != want {
		t.Errorf("got states %s, want %s", got, want)
	}
	if own, ok := fresh.(*conn); !ok || own.breaksAtOpen != 1 {
		t.Errorf("got connection %+v, want one opened after 1 break", own)
	}
	_, _ = old.Close(), fresh.Close()
}
