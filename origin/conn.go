package origin

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/tcp"
)

const readBufferSize = 4 << 10 // bytes

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn

	reader        *bufio.Reader
	used          bool          // it has carried a request
	idleSince     time.Time     // since when it is idle
	idleTimeout   time.Duration // how long the target keeps it idle; zero if not stated
	lastSignature string        // the signature of the last answer
	noReuse       bool          // it must not carry another request
	writeDone     <-chan error  // ends the writing of a long body; nil if none is under way
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}
}

// stale reports whether an idle connection must not be used: the target has
// closed it, is about to, or has sent bytes that no request asked for.
func (c *conn) stale(now time.Time) bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.idleTimeout > 0 && now.Sub(c.idleSince) >= c.idleTimeout-idleMargin(c.idleTimeout) {
		return true
	}
	return c.readable()
}

// idleMargin is how long before the stated end of an idle connection it is
// given up, so that a request does not cross its close.
func idleMargin(timeout time.Duration) time.Duration { return min(timeout/4, time.Second) }

// readable reports whether bytes, a close or an error wait on the socket.
func (c *conn) readable() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := tcp.Peek(socket)
	return !errors.Is(err, unix.EAGAIN)
}
