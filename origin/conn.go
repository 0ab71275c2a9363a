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

const readBuffer = 4 << 10 // bytes

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn

	reader  *bufio.Reader
	used    bool          // it has carried a request
	idled   time.Time     // since when it is idle
	keep    time.Duration // how long the target keeps it idle; zero if not stated
	proof   string        // the signature of the last answer
	closing bool          // it must not carry another request
	writing <-chan error  // ends the writing of a long body; nil if none is under way
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// stale reports whether an idle connection must not be used: the target has
// closed it, is about to, or has sent bytes that no request asked for.
func (c *conn) stale(now time.Time) bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.keep > 0 && now.Sub(c.idled) >= c.keep-keepMargin(c.keep) {
		return true
	}
	return c.readable()
}

// keepMargin is how long before the stated end of an idle connection it is
// given up, so that a request does not cross its close.
func keepMargin(keep time.Duration) time.Duration { return min(keep/4, time.Second) }

// readable reports whether bytes, a close or an error wait on the socket.
func (c *conn) readable() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := tcp.Peek(socket)
	return !errors.Is(err, unix.EAGAIN)
}
