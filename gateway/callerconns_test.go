package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/timer"
)

// crowd is a server for callers with a bound on their connections.
type crowd struct {
	server  *callerServer
	address string
	served  atomic.Int32
	hold    chan struct{} // requests with the path /hold end when it is closed
}

func newCrowd(t *testing.T, bound int) *crowd {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &crowd{address: l.Addr().String(), hold: make(chan struct{})}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.served.Add(1)
		if r.URL.Path == "/hold" {
			<-c.hold
		}
		w.WriteHeader(http.StatusOK)
	})
	c.server = &callerServer{handler: handler, conns: newCallerConns(&timer.Service{}, &log.Logger{Handler: discard.New()}, NewMetrics())}
	c.server.conns.setBound(bound)
	done := make(chan error, 1)
	go func() { done <- c.server.run(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		_ = c.server.close()
		if err := <-done; err != nil {
			t.Errorf("got error %v of the server, want none", err)
		}
	})
	return c
}

// client is a caller with one connection.
type client struct {
	net.Conn

	reader *bufio.Reader
}

func (c *crowd) connect(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp4", c.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) write(path string) {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
}

// ask sends a request. It returns whether there was an answer, and whether the
// connection stays open after it.
func (c *client) ask(path string) (answered, kept bool) {
	c.write(path)
	return c.answer()
}

func (c *client) answer() (answered, kept bool) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return true, !resp.Close
}

// waitForServed waits until count requests have begun.
func (c *crowd) waitForServed(t *testing.T, count int32) {
	t.Helper()
	for range 200 {
		if c.served.Load() == count {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not %d requests served within 1 s", count)
}

// waitForIdle waits until count connections are idle.
func (c *crowd) waitForIdle(t *testing.T, count int) {
	t.Helper()
	for range 200 {
		c.server.conns.mu.Lock()
		idle := c.server.conns.idle.Len()
		c.server.conns.mu.Unlock()
		if idle == count {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not %d idle connections within 1 s", count)
}

// TestIdleCallersKeepOthersOut guards against callers whose idle connections keep those
// of others out: at the bound, the one that has been idle for longest is closed, and
// never one whose request runs.
func TestIdleCallersKeepOthersOut(t *testing.T) {
	t.Parallel()
	c := newCrowd(t, 5)
	busy := c.connect(t)
	busy.write("/hold")
	c.waitForServed(t, 1)
	idle := make([]*client, 0, 2)
	for i := range 2 {
		idle = append(idle, c.connect(t))
		if answered, kept := idle[i].ask("/"); !answered || !kept {
			t.Fatalf("got answered %t and kept %t far from the bound, want both", answered, kept)
		}
		c.waitForIdle(t, i+1)
	}
	oldest, later := idle[0], idle[1]
	c.server.conns.setBound(3)
	newest := c.connect(t)
	if answered, kept := newest.ask("/"); !answered || kept {
		t.Errorf("new connection: got answered %t and kept %t at the bound, want an answer that closes it", answered, kept)
	}
	if answered, _ := oldest.ask("/"); answered {
		t.Error("got an answer over the connection that was idle for longest, want it closed")
	}
	if answered, _ := later.ask("/"); !answered {
		t.Error("got no answer over the other idle connection, want one")
	}
	close(c.hold)
	if answered, _ := busy.answer(); !answered {
		t.Error("got no answer over the connection in use, want one")
	}
	if got := c.served.Load(); got != 5 {
		t.Errorf("got %d requests served, want 5: none over the closed connection", got)
	}
}

// TestNewCallerWaitsForEver guards against a new connection that is neither served nor
// closed while all others are in use.
func TestNewCallerWaitsForEver(t *testing.T) {
	t.Parallel()
	c := newCrowd(t, 1)
	busy := c.connect(t)
	busy.write("/hold")
	c.waitForServed(t, 1)
	began := time.Now()
	if answered, _ := c.connect(t).ask("/"); answered || time.Since(began) > 2*roomPatience {
		t.Errorf("got answered %t after %s, want the connection closed after %s", answered, time.Since(began), roomPatience)
	}
	close(c.hold)
	if answered, _ := busy.answer(); !answered {
		t.Error("got no answer over the connection in use, want one")
	}
	if answered, _ := c.connect(t).ask("/"); !answered {
		t.Error("got no answer over a new connection when there is room, want one")
	}
}

// TestRequestOverAClosedConnectionRuns guards against running a request that arrives
// just when its connection was chosen to be closed, since it would get no answer, and
// against answering it with 400.
func TestRequestOverAClosedConnectionRuns(t *testing.T) {
	t.Parallel()
	c := newCrowd(t, 8)
	fresh, used := c.connect(t), c.connect(t)
	if answered, kept := used.ask("/"); !answered || !kept {
		t.Fatalf("got answered %t and kept %t, want both", answered, kept)
	}
	c.waitForIdle(t, 2)
	c.server.conns.mu.Lock()
	for c.server.conns.idle.Len() > 0 {
		chosen, _ := c.server.conns.idle.Front().Value.(*callerConn)
		c.server.conns.drop(chosen) // and not closed yet
	}
	c.server.conns.mu.Unlock()
	for name, open := range map[string]*client{"new": fresh, "kept": used} {
		if answered, _ := open.ask("/"); answered {
			t.Errorf("%s connection: got an answer, want the connection closed", name)
		}
	}
	if got := c.served.Load(); got != 1 {
		t.Errorf("got %d requests served, want the first one only", got)
	}
}

// TestCallerBound guards against callers that use up the descriptors that targets, other
// hosts and files need.
func TestCallerBound(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name                 string
		descriptors, targets int
		want                 int
	}{
		{"a site of today", 4100, 516, 3128},
		{"its last host, which may use all connections of the targets", 4100, 4320, 1822},
		{"no target yet", 4100, 0, 3644},
		{"few descriptors", 256, 100, minCallers},
	} {
		got := callerBound(test.descriptors, test.targets)
		if got != test.want {
			t.Errorf("%s: got a bound of %d, want %d", test.name, got, test.want)
		}
		if used := got + fileDescriptors + hostDescriptors; got > minCallers && used+min(test.targets, (test.descriptors-fileDescriptors-hostDescriptors)/2) > test.descriptors {
			t.Errorf("%s: got %d descriptors in use at the bound and nothing left for targets, of %d", test.name, used, test.descriptors)
		}
	}
}

// BenchmarkIdleCallers measures the memory of an idle connection of a caller, both sides
// of it.
func BenchmarkIdleCallers(b *testing.B) {
	const count = 3000
	for range b.N {
		before := memoryInUse()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		server := &callerServer{handler: handler, conns: newCallerConns(&timer.Service{}, &log.Logger{Handler: discard.New()}, NewMetrics())}
		server.conns.setBound(2 * count)
		go func() { _ = server.run(l) }()
		clients := make([]net.Conn, 0, count)
		buffer := make([]byte, 1024)
		for range count {
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			_, _ = c.Read(buffer)
			clients = append(clients, c)
		}
		b.ReportMetric(float64(memoryInUse()-before)/count, "bytes/connection")
		for _, c := range clients {
			_ = c.Close()
		}
		_ = l.Close()
		_ = server.close()
	}
}

// memoryInUse returns the bytes of live objects and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// TestRaisedLimitNeverReachesOpenConnections guards against refusing a header over an
// open connection although a later configuration allows it (review-limits).
func TestRaisedLimitNeverReachesOpenConnections(t *testing.T) {
	t.Parallel()
	c := newCrowd(t, 8)
	const low, high = 2 << 10, 64 << 10
	c.server.setLimits(catalog.Limits{HeaderBytes: low})
	busy := c.connect(t)
	busy.write("/hold")
	c.waitForServed(t, 1)
	idle, used := c.connect(t), c.connect(t)
	for _, open := range []*client{idle, used} {
		if answered, kept := open.ask("/"); !answered || !kept {
			t.Fatalf("got answered %t and kept %t, want both before the change", answered, kept)
		}
	}
	c.waitForIdle(t, 2)
	c.server.setLimits(catalog.Limits{HeaderBytes: high})
	if answered, kept := used.ask("/"); !answered || kept {
		t.Errorf("got answered %t and kept %t soon after the change, want an answer that closes the connection", answered, kept)
	}
	time.Sleep(renewTime)
	c.waitForIdle(t, 0)
	if answered, _ := idle.ask("/"); answered {
		t.Error("got an answer over the idle connection, want it closed, since its limits are outdated")
	}
	close(c.hold)
	if answered, _ := busy.answer(); !answered {
		t.Error("got no answer over the connection in use, want one")
	}
	if answered, _ := busy.ask("/"); answered {
		t.Error("got another answer over it, want it closed")
	}
	fresh := c.connect(t)
	header := strings.Repeat("x", high/2)
	if status := fresh.askWith(header); status != http.StatusOK {
		t.Errorf("got status %d for a header of %d bytes, want 200", status, len(header))
	}
	c.server.setLimits(catalog.Limits{HeaderBytes: high})
	if answered, kept := fresh.ask("/"); !answered || !kept {
		t.Errorf("got answered %t and kept %t, want both: the limits are the same", answered, kept)
	}
}

// askWith sends a request with a header field and returns the status of the answer; zero
// if there is none.
func (c *client) askWith(value string) int {
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nField: "+value+"\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
