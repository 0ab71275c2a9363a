package target

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// TestUnacknowledgedRequestKeepsItsSlot ends a request at its deadline while
// the target has not acknowledged all of it, but may run it. Send must not
// return before the target has had time to see the end of the connection:
// otherwise the next request would run at the same time.
func TestUnacknowledgedRequestKeepsItsSlot(t *testing.T) {
	t.Parallel()
	var ended atomic.Bool
	address := serveTCP(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		time.Sleep(200 * time.Millisecond) // past the deadline, like a target on a busy machine
		for {
			if _, err := c.Read(make([]byte, 64<<10)); err != nil {
				ended.Store(true)
				return
			}
		}
	})
	r := newRig(t, address, 1)
	s := magnoliashore.NewSub(magnoliashore.SubSpec{
		ID: 7, Query: "q", Partition: "p1", Target: "t1", Snapshot: 3,
		Deadline: time.Now().Add(100 * time.Millisecond), Once: true, Body: make([]byte, 1<<20),
	})
	check(t, r.send(t.Context(), s), "unknown", "deadline")
	if !ended.Load() {
		t.Error("got the outcome before the target saw the end of the connection, want after")
	}
}
