package target

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// control returns the function that sets TCP_USER_TIMEOUT on a new socket,
// nil if timeout is not positive. The kernel counts whole milliseconds.
func control(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	if timeout <= 0 {
		return nil
	}
	ms := max(int(timeout/time.Millisecond), 1)
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
		})
		if err != nil {
			return err
		}
		return failed
	}
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
