package tcp_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

// failingListener fails with each of its errors once, and then accepts connections
// until it is closed.
type failingListener struct {
	errs     []error
	accepted int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	if l.accepted > 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
	l.accepted++
	c, _ := net.Pipe()
	return c, nil
}

func (*failingListener) Close() error { return nil }

func (*failingListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// TestPassingErrorOfAcceptEndsTheProcess guards against a server that ends, and its
// process with it, when accepting a connection fails for a reason that passes (review
// case 2), and against a log line for each try.
func TestPassingErrorOfAcceptEndsTheProcess(t *testing.T) {
	t.Parallel()
	listener := &failingListener{}
	for _, err := range []error{unix.EMFILE, unix.ENFILE, unix.ECONNABORTED, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, os.ErrDeadlineExceeded} {
		listener.errs = append(listener.errs, os.NewSyscallError("accept4", err))
	}
	lines := memory.New()
	a := &tcp.Acceptor{Listener: listener, Timer: &timer.Service{}, Log: &log.Logger{Handler: lines, Level: log.InfoLevel}}
	began := time.Now()
	c, err := a.Accept()
	if c == nil || err != nil {
		t.Fatalf("got connection %v and error %v, want a connection after some failures", c, err)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("got it after %s, want bounded pauses", took)
	}
	if got := len(lines.Entries); got != 2 {
		t.Errorf("got %d log lines, want one at the first failure and one at the end", got)
	}
	if _, err := a.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got error %v, want that the listener is closed", err)
	}
}
