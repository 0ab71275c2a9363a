package target

import (
	"io"
	"net"
	"time"

	"github.com/magnoliashore/magnoliashore/timer"
)

// pastDeadline makes pending reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// Close closes the connection and returns at once. The target sees the end of
// the stream, which cancels what it runs. In the background the connection
// counts against the target's limit until the target has closed its side too,
// or until Pool.ReleaseTimeout has elapsed.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	_ = c.SetDeadline(pastDeadline)
	c.link.remove(c)
	if c.uncounted.CompareAndSwap(false, true) {
		c.link.quota.ended()
		c.link.counter.closed()
	}
	go c.finish()
	return nil
}

// finish waits until the target has closed its side or Pool.ReleaseTimeout has
// elapsed, and releases the socket.
func (c *conn) finish() {
	defer close(c.released)
	defer c.link.quota.release()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.broken.Load() {
		_ = c.Conn.Close()
		return
	}
	c.writeMu.Lock() // from here on no write is in progress or starts
	defer c.writeMu.Unlock()
	end := c.link.clock.Now().Add(c.link.releaseTimeout)
	c.awaitPeerClose(tcp, end)
	if !unacknowledged(tcp) {
		_ = tcp.Close()
		return
	}
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
	if c.partialWrite.Load() {
		return
	}
	// The target may have the whole request without having acknowledged it yet.
	// After the reset there is no sign of when it stops running the request.
	new(timer.Service).Sleep(end.Sub(c.link.clock.Now()))
}

// awaitPeerClose ends the stream towards the target and reads until the target
// ends its stream too, or until end. While bytes may still arrive at the
// target, it waits no longer than the write deadline of the request.
func (c *conn) awaitPeerClose(tcp *net.TCPConn, end time.Time) {
	now := c.link.clock.Now()
	a := c.current.Load()
	if a != nil && !a.writeDeadline.IsZero() && a.writeDeadline.Before(end) && unacknowledged(tcp) {
		end = a.writeDeadline
	}
	if !now.Before(end) {
		return
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if tcp.CloseWrite() != nil || tcp.SetReadDeadline(end) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, tcp)
}
