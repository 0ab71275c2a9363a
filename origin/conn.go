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
	bound         *tcp.BoundedReader // below reader
	used          bool               // has carried a request
	idleSince     time.Time          // start of the current idle period
	idleTimeout   time.Duration      // idle time after which the target closes it; zero if unknown
	lastSignature string             // signature of the previous answer
	noReuse       bool               // must not carry another request
	distrusted    bool               // does not count as open any more, since it may be silent
	writeDone     <-chan error       // receives the result of writing a long body; nil if no write is in progress
}

func newConn(c net.Conn) *conn {
	bound := tcp.NewBoundedReader(c)
	return &conn{Conn: c, bound: bound, reader: bufio.NewReaderSize(bound, readBufferSize)}
}

// stale reports whether an idle connection must not be used: the target has
// closed it, is about to close it, or has sent unsolicited bytes.
func (c *conn) stale(now time.Time) bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.idleTimeout > 0 && now.Sub(c.idleSince) >= c.idleTimeout-idleMargin(c.idleTimeout) {
		return true
	}
	return c.readable()
}

// idleMargin returns how long before the target's idle timeout a connection is
// discarded, so that a request does not race with the target's close.
func idleMargin(timeout time.Duration) time.Duration { return min(timeout/4, time.Second) }

// readable reports whether bytes, the end of the stream or an error are pending
// on the socket.
func (c *conn) readable() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := tcp.Peek(socket)
	return !errors.Is(err, unix.EAGAIN)
}
