package tcp

import (
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	// Pauses after a failed accept: the first one, doubled with each further failure,
	// and the longest.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
	// Least time between two log lines about failed accepts.
	acceptLogInterval = 5 * time.Second
)

// Acceptor is a listener whose Accept returns no error but net.ErrClosed. What fails
// otherwise passes, or concerns one connection only: a lack of descriptors or memory, or
// a caller that has left. Accept tries again after a pause.
type Acceptor struct {
	net.Listener

	Timer *timer.Service
	Log   log.Interface // nil for the default logger

	failures int
	since    time.Time // of the failures
	logged   time.Time // latest log line
}

var _ net.Listener = (*Acceptor)(nil)

// Accept returns the next connection. It must be called by one goroutine only.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err == nil {
			a.succeeded()
			return c, nil
		}
		a.failed(err)
		a.Timer.Sleep(min(minAcceptPause<<min(a.failures-1, 10), maxAcceptPause))
	}
}

func (a *Acceptor) failed(err error) {
	now := a.Timer.Now()
	if a.failures == 0 {
		a.since = now
	}
	a.failures++
	if now.Sub(a.logged) < acceptLogInterval {
		return
	}
	a.logged = now
	a.logger().WithError(err).WithFields(log.Fields{
		"address": a.Addr().String(), "failures": a.failures, "lasted": now.Sub(a.since).Round(time.Millisecond).String(),
	}).Warn("cannot accept a connection; trying again")
}

func (a *Acceptor) succeeded() {
	if a.failures == 0 {
		return
	}
	a.logger().WithFields(log.Fields{
		"address": a.Addr().String(), "failures": a.failures, "lasted": a.Timer.Now().Sub(a.since).Round(time.Millisecond).String(),
	}).Info("accepting connections again")
	a.failures, a.logged = 0, time.Time{}
}

func (a *Acceptor) logger() log.Interface {
	if a.Log != nil {
		return a.Log
	}
	return log.Log
}

// Exhausted reports whether err says that this process or its machine lacks descriptors,
// memory or ports for a connection. It says nothing about the other side.
func Exhausted(err error) bool {
	return errors.IsAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL)
}

// DescriptorLimit returns how many descriptors this process may have open.
func DescriptorLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "reading the limit on descriptors")
	}
	return int(min(limit.Cur, maxDescriptors)), nil
}

// maxDescriptors is the most descriptors that a process uses where it has no limit.
const maxDescriptors = 1 << 20
