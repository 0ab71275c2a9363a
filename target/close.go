package target

import (
	"io"
	"net"
	"time"
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
	if c.ended.CompareAndSwap(false, true) {
		c.link.quota.fell()
		c.link.watch.closed()
	}
	go c.finish()
	return nil
}

// finish waits until the target lets go, and releases the socket.
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
	c.hold(tcp)
	if unacknowledged(tcp) {
		_ = tcp.SetLinger(0)
	}
	_ = tcp.Close()
}

// hold ends the stream towards the target and reads until the target ends it
// too. If bytes may still arrive at the target, it lasts no longer than the
// gate of the request.
func (c *conn) hold(tcp *net.TCPConn) {
	now := c.link.clock.Now()
	end := now.Add(c.link.release)
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
