package target

import (
	"net"

	"golang.org/x/sys/unix"
)

// ended reports whether the other side has ended a connection and all that it
// has sent has been read.
func ended(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	over := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		over = n == 0 && failed == nil || failed == unix.ECONNRESET
	})
	return err == nil && over
}

// unacknowledged reports whether the send buffer holds bytes that the target
// has not acknowledged, or whether this cannot be told.
func unacknowledged(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
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
