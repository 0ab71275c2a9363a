package origin_test

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// TestDistrustedConnectionsAreNotUsed guards against requests on connections that one
// event has silenced, each of which would be found out by a request that is lost. The
// only connection to a target is silent, idle or in use; after the distrust, a request
// is answered over another one.
func TestDistrustedConnectionsAreNotUsed(t *testing.T) {
	t.Parallel()
	for _, inUse := range []bool{false, true} {
		s := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			for i := 0; ; i++ {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				if n > 1 || i == 0 { // the first connection is silent after one answer
					reply(c, "HTTP/1.1 200 OK\nEcho: "+id+"\nProof: p"+id+"\nContent-Length: 0\n\n")
				}
			}
		})
		c := newCaller(s)
		c.maxConnections = 1
		wantStatus(t, "first request", c.do(t.Context(), "a1", ""), 200)
		if inUse {
			go c.do(t.Context(), "a2", "")
			time.Sleep(400 * time.Millisecond)
		}
		c.pool.DistrustKept()
		began := time.Now()
		wantStatus(t, "request after the distrust", c.do(t.Context(), "a3", ""), 200)
		if took := time.Since(began); took > 300*time.Millisecond {
			t.Errorf("in use %t: got the answer after %s, want it at once", inUse, took)
		}
		if got := s.opened.Load(); got != 2 {
			t.Errorf("in use %t: got %d connections, want 2", inUse, got)
		}
	}
}
