package target

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// TestUnacknowledgedRequestKeepsItsPlace cuts a request at its deadline while
// the target has not acknowledged all of it, though it may run it. Send must
// not return before the target has had the time to see the cut: a request that
// is sent next would run beside it.
func TestUnacknowledgedRequestKeepsItsPlace(t *testing.T) {
	t.Parallel()
	var over atomic.Bool
	address := raw(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		time.Sleep(200 * time.Millisecond) // past the deadline, as a target does on a busy machine
		for {
			if _, err := c.Read(make([]byte, 64<<10)); err != nil {
				over.Store(true)
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
	if !over.Load() {
		t.Error("got the end of the request before the target has seen it, want after")
	}
}
