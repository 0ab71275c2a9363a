// Package tcp provides the socket options that all connections of a process
// share.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Control returns a function for net.Dialer that makes the kernel give up a
// connection whose peer has acknowledged nothing for the given time, as one
// behind a network partition. It returns nil, for the kernel's own limit, if
// the time is not positive. The kernel counts whole milliseconds.
func Control(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	if userTimeout <= 0 {
		return nil
	}
	ms := max(int(userTimeout.Milliseconds()), 1)
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
		})
		return errors.CombineErrors(err, sockErr)
	}
}

// Peek reads from a socket without blocking and without consuming anything. It
// returns n > 0 if bytes are waiting, n == 0 and no error at the end of the
// stream, and EAGAIN if nothing is waiting.
func Peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, failed = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err == nil {
		err = failed
	}
	return n, err
}

// Dialer returns a dialer that gives up a connection attempt after connect,
// and a connection as Control says.
func Dialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, Control: Control(userTimeout)}
}
