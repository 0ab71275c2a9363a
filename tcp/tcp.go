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

const (
	// Idle time of a connection after which keep-alive probes begin: seconds, so that
	// thousands of idle connections cost little.
	probeIdle = 5 * time.Second
	// Time between two probes. The kernel counts whole seconds.
	probeInterval = time.Second
	// Unanswered probes after which a connection without a user timeout is closed.
	probeCount = 3
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// SilenceTime returns the time after the last received byte or acknowledgement at which
// the kernel closes an idle connection whose other side has become silent. If a user
// timeout is set, it decides when probes give up, whatever their count: at the first
// probe time after one unanswered probe at which it has passed.
func SilenceTime(userTimeout time.Duration) time.Duration {
	if userTimeout <= 0 {
		return probeIdle + probeCount*probeInterval
	}
	silence := probeIdle + probeInterval
	for silence < userTimeout {
		silence += probeInterval
	}
	return silence
}

// Dialer returns a dialer that limits connecting to connectTimeout. Its connections are
// probed while they are idle, and Control(userTimeout) applies to them.
func Dialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, Control: Control(userTimeout), KeepAliveConfig: keepAlive()}
}

// ListenConfig is like Dialer for the connections that a listener accepts.
func ListenConfig(userTimeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{Control: Control(userTimeout), KeepAliveConfig: keepAlive()}
}
