package target

import (
	"net"

	"golang.org/x/sys/unix"
)

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
