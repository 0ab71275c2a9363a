package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of attempts that have not sent any byte of the request.
var (
	ErrNoConnection = errors.New("no free connection to the target")
	ErrConnect      = errors.New("cannot connect to the target")
	errCanceled     = errors.New("the request was canceled")
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority int
	ready    chan *conn // receives a connection, or nil as permission to open one
}

// connList holds the connections to one target.
type connList struct {
	address    string
	dialTarget DialFunc

	mu      sync.Mutex
	idle    []*conn             // most recently used last
	busy    map[*conn]time.Time // connections whose request has no answer yet, since when
	numOpen int                 // open connections, including idle ones, and dials in progress
	waiting []*waiter           // sorted by priority
	retired bool                // the target is no longer used
}

// acquire returns an idle connection, opens one if fewer than maxOpen are open,
// or waits for one unless maxWaiting requests already wait. Waiting requests are
// served in order of priority, the lowest first.
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
	i, _ := slices.BinarySearchFunc(l.waiting, priority+1, func(x *waiter, p int) int { return x.priority - p })
	l.waiting = slices.Insert(l.waiting, i, w)
	l.mu.Unlock()
	return l.wait(ctx, w)
}

// wait waits until w receives a connection, or the permission to open one, or
// until ctx ends.
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
	// The connection was handed over just as ctx ended.
	if c := <-w.ready; c != nil {
		l.put(c)
	} else {
		l.release()
	}
	return nil, ErrNoConnection
}

// dial opens a connection that numOpen already counts.
func (l *connList) dial(ctx context.Context) (*conn, error) {
	c, err := l.dialTarget(ctx, "tcp4", l.address)
	if err != nil {
		l.release()
		return nil, errors.Mark(errors.Wrapf(err, "connecting to %s", l.address), ErrConnect)
	}
	return newConn(c), nil
}

// use records that a request is sent on a connection at now.
func (l *connList) use(c *conn, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy == nil {
		l.busy = make(map[*conn]time.Time)
	}
	l.busy[c] = now
}

// endUse records that the request on a connection has an answer, or will have none.
func (l *connList) endUse(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, c)
}

// distrust closes the idle connections, which may be silent, and frees the slots of
// those without an answer since before a time, so that others can be opened.
func (l *connList) distrust(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle()
	for c, since := range l.busy {
		if since.Before(before) && !c.distrusted {
			c.distrusted = true
			l.releaseSlot()
		}
	}
}

// discard closes a connection and frees its slot.
func (l *connList) discard(c *conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.distrusted {
		l.releaseSlot()
	}
}

// release frees the slot of a connection that was not opened.
func (l *connList) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseSlot()
}

// releaseSlot passes a slot to the next waiter, or frees it. The caller holds l.mu.
func (l *connList) releaseSlot() {
	if w := l.nextWaiter(); w != nil {
		w.ready <- nil
		return
	}
	l.numOpen--
}

// put returns a reusable connection to the next waiter or to the idle ones.
func (l *connList) put(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.distrusted {
		_ = c.Close()
		return
	}
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

// nextWaiter removes and returns the most urgent waiter; nil if there is none.
// The caller holds l.mu.
func (l *connList) nextWaiter() *waiter {
	if len(l.waiting) == 0 {
		return nil
	}
	w := l.waiting[0]
	l.waiting = l.waiting[1:]
	return w
}

// retire closes the idle connections. The others are closed when they are
// returned.
func (l *connList) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.closeIdle()
}

// dropIdle closes the idle connections.
func (l *connList) dropIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle()
}

// closeIdle closes the idle connections. The caller holds mu.
func (l *connList) closeIdle() {
	for _, c := range l.idle {
		_ = c.Close()
	}
	l.numOpen -= len(l.idle)
	l.idle = nil
}
