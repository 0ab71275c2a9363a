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

	link    *link
	opened  time.Time               // when it was opened
	era     uint64                  // breaks of the target's connections before that
	now     atomic.Pointer[attempt] // the request that may be written
	sent    atomic.Pointer[attempt] // the request of which bytes were written
	bad     atomic.Bool             // it must not carry another request
	partial atomic.Bool             // the last request was not written whole
	closed  atomic.Bool             // this process has closed it
	broken  atomic.Bool             // the other side or the kernel ended it
	ended   atomic.Bool             // it does not count as standing any more
	reading sync.Mutex              // held during a read
	writing sync.Mutex              // held during a write
	done    chan struct{}           // closed when the target has let go of it
}

// attach makes a the request that the connection may write.
func (c *conn) attach(a *attempt) {
	c.now.Store(a)
	if err := c.SetWriteDeadline(a.gate); err != nil {
		c.bad.Store(true)
	}
}

// Read reads from the socket. An error that this process did not cause is an
// unexpected break.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.fail(err)
	}
	return n, err
}

// Write writes p unless the request is not allowed to or its gate has passed.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	a := c.now.Load()
	if a == nil || c.bad.Load() || c.closed.Load() {
		return 0, errSealed
	}
	if err := a.begin(c); err != nil {
		a.stop()
		return 0, err
	}
	first := c.sent.Load() != a
	n, err := c.push(a, p)
	if n > 0 {
		c.sent.Store(a)
	}
	if err != nil && n == 0 && first {
		a.empty()
		a.stop()
	}
	return n, err
}

// push checks the gate and then writes.
func (c *conn) push(a *attempt, p []byte) (int, error) {
	if a.passed() {
		a.refuse()
		return 0, errGate
	}
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	c.partial.Store(true)
	if c.closed.Load() {
		return n, net.ErrClosed
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.refuse()
		return n, errGate
	}
	c.fail(err)
	return n, err
}

// fail reports an unexpected break once, unless this process has closed the
// connection.
func (c *conn) fail(err error) {
	if c.closed.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.broken.Store(true)
	c.link.forget(c)
	if c.ended.CompareAndSwap(false, true) {
		c.link.quota.fell()
		c.link.watch.broke()
	}
}

// spoil closes the connection after a broken reply to a. If another request
// holds the connection already, that one is kept from writing, or the
// connection is closed when it ends.
func (c *conn) spoil(a *attempt) {
	c.bad.Store(true)
	if c.now.CompareAndSwap(a, sealed()) {
		_ = c.Close()
	}
}

// settle closes a spoiled connection when the request a on it has ended.
func (c *conn) settle(a *attempt) {
	if c.bad.Load() {
		c.spoil(a)
	}
}
