package origin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an exchange for which no byte of the request was sent.
var (
	ErrNoConnection = errors.New("no connection to the target is free")
	ErrConnect      = errors.New("cannot connect to the target")
	errCanceled     = errors.New("the request was canceled")
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority int
	ready    chan *conn // gets a connection, or nil for the right to open one
}

// connList holds the connections to one target.
type connList struct {
	address string
	dialer  *net.Dialer

	mu      sync.Mutex
	idle    []*conn // the latest used last
	numOpen int     // connections, idle ones included, and dials under way
	waiting []*waiter
	retired bool // the target is no longer used
}

// acquire returns a connection for a request of a rank, at most limit of them
// open at a time. A request of a lower rank waits in front of the others.
func (l *connList) acquire(ctx context.Context, now time.Time, priority, maxOpen, maxWaiting int) (*conn, error) {
	l.mu.Lock()
	for len(l.idle) > 0 {
		c := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		if !c.stale(now) {
			l.mu.Unlock()
			return c, nil
		}
		l.numOpen--
		_ = c.Close()
	}
	if l.numOpen < maxOpen {
		l.numOpen++
		l.mu.Unlock()
		return l.dial(ctx)
	}
	if len(l.waiting) >= maxWaiting {
		l.mu.Unlock()
		return nil, ErrNoConnection
	}
	w := &waiter{priority: priority, ready: make(chan *conn, 1)}
	i, _ := slices.BinarySearchFunc(l.waiting, priority+1, func(x *waiter, rank int) int { return x.priority - rank })
	l.waiting = slices.Insert(l.waiting, i, w)
	l.mu.Unlock()
	return l.wait(ctx, w)
}

func (l *connList) wait(ctx context.Context, w *waiter) (*conn, error) {
	select {
	case c := <-w.ready:
		if c != nil {
			return c, nil
		}
		return l.dial(ctx)
	case <-ctx.Done():
	}
	l.mu.Lock()
	i := slices.Index(l.waiting, w)
	if i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	l.mu.Unlock()
	if i >= 0 {
		return nil, ErrNoConnection
	}
	// The connection was handed over at the same moment.
	if c := <-w.ready; c != nil {
		l.put(c)
	} else {
		l.release()
	}
	return nil, ErrNoConnection
}

// dial opens a connection, for which there is room.
func (l *connList) dial(ctx context.Context) (*conn, error) {
	c, err := l.dialer.DialContext(ctx, "tcp4", l.address)
	if err != nil {
		l.release()
		return nil, errors.Mark(errors.Wrapf(err, "connecting to %s", l.address), ErrConnect)
	}
	return newConn(c), nil
}

// release gives up the room of a connection that is closed.
func (l *connList) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.nextWaiter(); w != nil {
		w.ready <- nil
		return
	}
	l.numOpen--
}

// put takes back a connection that can carry another request.
func (l *connList) put(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		l.numOpen--
		_ = c.Close()
		return
	}
	if w := l.nextWaiter(); w != nil {
		w.ready <- c
		return
	}
	l.idle = append(l.idle, c)
}

func (l *connList) nextWaiter() *waiter {
	if len(l.waiting) == 0 {
		return nil
	}
	w := l.waiting[0]
	l.waiting = l.waiting[1:]
	return w
}

// retire closes the idle connections; the others close when they come back.
func (l *connList) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	for _, c := range l.idle {
		_ = c.Close()
	}
	l.numOpen -= len(l.idle)
	l.idle = nil
}
