package tcp_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/tcp"
)

func TestDialerSetsTheUserTimeout(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c, err := tcp.Dialer(time.Second, 1500*time.Millisecond).DialContext(t.Context(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	conn, ok := c.(*net.TCPConn)
	if !ok {
		t.Fatalf("got a %T, want a TCP connection", c)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	if err := raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || got != 1500 {
		t.Errorf("got a timeout of %d ms and error %v, want 1500", got, err)
	}
}
