package target

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/tcp"
)

// ended reports whether the other side has ended a connection and all that it
// has sent has been read.
func ended(c net.Conn) bool {
	socket, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	n, err := tcp.Peek(socket)
	return n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
}

// unacknowledged reports whether the send buffer holds bytes that the target
// has not acknowledged, or whether this cannot be told.
func unacknowledged(socket *net.TCPConn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	queued := 1
	err = raw.Control(func(fd uintptr) {
		n, failed := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if failed == nil {
			queued = n
		}
	})
	return err != nil || queued > 0
}
