package target

import (
	"io"
	"net"
	"time"

	"github.com/magnoliashore/magnoliashore/timer"
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Close ends the connection and returns at once. The target gets the end of
// the stream, which cancels what it runs; in the background the connection
// keeps its place in the target's limit until the target has closed its side
// too, or Pool.Release is over.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	_ = c.SetDeadline(past)
	c.link.forget(c)
	if c.ended.CompareAndSwap(false, true) {
		c.link.quota.fell()
		c.link.watch.closed()
	}
	go c.finish()
	return nil
}

// finish waits until the target lets go or Pool.Release is over, and releases
// the socket.
func (c *conn) finish() {
	defer close(c.done)
	defer c.link.quota.give()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.broken.Load() {
		_ = c.Conn.Close()
		return
	}
	c.writing.Lock() // no write is under way or begins after this
	defer c.writing.Unlock()
	end := c.link.clock.Now().Add(c.link.release)
	c.hold(tcp, end)
	if !unacknowledged(tcp) {
		_ = tcp.Close()
		return
	}
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
	if c.partial.Load() {
		return
	}
	// The target may have the whole request and not have acknowledged it yet.
	// After the reset it cannot tell when it has let go of it.
	new(timer.Service).Sleep(end.Sub(c.link.clock.Now()))
}

// hold ends the stream towards the target and reads until the target ends it
// too, or until end. If bytes may still arrive at the target, it lasts no longer
// than the gate of the request.
func (c *conn) hold(tcp *net.TCPConn, end time.Time) {
	now := c.link.clock.Now()
	a := c.now.Load()
	if a != nil && !a.gate.IsZero() && a.gate.Before(end) && unacknowledged(tcp) {
		end = a.gate
	}
	if !now.Before(end) {
		return
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if tcp.CloseWrite() != nil || tcp.SetReadDeadline(end) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, tcp)
}
