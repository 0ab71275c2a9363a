package target

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn

	link         *link
	opened       time.Time
	breaksAtOpen uint64                  // number of the target's broken connections when this one was opened
	current      atomic.Pointer[attempt] // request that may be written
	written      atomic.Pointer[attempt] // request of which bytes were written
	noReuse      atomic.Bool             // must not carry another request
	partialWrite atomic.Bool             // the last request was not written completely
	closed       atomic.Bool             // closed by this process
	broken       atomic.Bool             // ended by the other side or by the kernel
	uncounted    atomic.Bool             // no longer counted as open
	readMu       sync.Mutex              // held during a read
	writeMu      sync.Mutex              // held during a write
	released     chan struct{}           // closed when the connection has been released
}

// attach makes a the request that the connection may write.
func (c *conn) attach(a *attempt) {
	c.current.Store(a)
	if err := c.SetWriteDeadline(a.writeDeadline); err != nil {
		c.noReuse.Store(true)
	}
}

// Read reads from the socket. It records an error that this process did not
// cause as a broken connection.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.markBroken(err)
	}
	return n, err
}

// Write writes p unless writing the request is not permitted or its write
// deadline has passed.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	a := c.current.Load()
	if a == nil || c.noReuse.Load() || c.closed.Load() {
		return 0, errRevoked
	}
	if err := a.claim(c); err != nil {
		a.abort()
		return 0, err
	}
	first := c.written.Load() != a
	n, err := c.writeInTime(a, p)
	if n > 0 {
		c.written.Store(a)
	}
	if err != nil && n == 0 && first {
		a.recordFailure()
		a.abort()
	}
	return n, err
}

// writeInTime checks the write deadline and then writes p.
func (c *conn) writeInTime(a *attempt, p []byte) (int, error) {
	if a.expired() {
		a.recordRefusal()
		return 0, errWriteDeadline
	}
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	c.partialWrite.Store(true)
	if c.closed.Load() {
		return n, net.ErrClosed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.recordRefusal()
		return n, errWriteDeadline
	}
	c.markBroken(err)
	return n, err
}

// markBroken reports the connection as broken, once. It ignores errors that
// this process causes itself: those after Close, and expired deadlines.
func (c *conn) markBroken(err error) {
	if c.closed.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.broken.Store(true)
	c.link.remove(c)
	if c.uncounted.CompareAndSwap(false, true) {
		c.link.quota.ended()
		c.link.counter.broken()
	}
}

// discard closes the connection after an invalid reply to a. If another
// request has already obtained the connection, that request can no longer
// start to write, and closeIfDiscarded closes the connection when it ends.
func (c *conn) discard(a *attempt) {
	c.noReuse.Store(true)
	if c.current.CompareAndSwap(a, newRevoked()) {
		_ = c.Close()
	}
}

// closeIfDiscarded closes a discarded connection when the request a on it has
// ended.
func (c *conn) closeIfDiscarded(a *attempt) {
	if c.noReuse.Load() {
		c.discard(a)
	}
}
