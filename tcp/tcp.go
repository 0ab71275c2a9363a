// Package tcp sets socket options for the TCP connections of this process and
// inspects their sockets.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Control returns a control function for net.Dialer and net.ListenConfig that
// sets TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
// unacknowledged for that long, for example behind a network partition. The
// kernel counts whole milliseconds. Control returns nil, which leaves the
// kernel's default, if userTimeout is not positive.
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
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err == nil {
		err = recvErr
	}
	return n, err
}

// Dialer returns a dialer that limits connecting to connectTimeout and applies
// Control(userTimeout) to its connections.
func Dialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, Control: Control(userTimeout)}
}
