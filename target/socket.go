package target

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/tcp"
)

// atEOF reports whether the other side has reset the connection, or has ended
// it and all that it sent has been read.
func atEOF(c net.Conn) bool {
	socket, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	n, err := tcp.Peek(socket)
	return n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
}

// unacknowledged reports whether the send buffer holds bytes that the target
// has not acknowledged. It returns true if that cannot be determined.
func unacknowledged(socket *net.TCPConn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	queued := 1
	err = raw.Control(func(fd uintptr) {
		n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if ioctlErr == nil {
			queued = n
		}
	})
	return err != nil || queued > 0
}
