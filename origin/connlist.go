package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/tcp"
)

// Errors of attempts that have not sent any byte of the request.
var (
	ErrNoConnection = errors.New("no free connection to the target")
	ErrConnect      = errors.New("cannot connect to the target")
	// ErrTargetGone means that the target is not used any more, so that the request can
	// go to another one.
	ErrTargetGone = errors.New("the target has left")
	// ErrWithdrawn means that the request was withdrawn before it was sent.
	ErrWithdrawn = errors.New("the request was withdrawn")
	// ErrExhausted means that this host lacked a descriptor for a connection, whatever
	// the target.
	ErrExhausted = errors.New("this host has no descriptor left for a connection")
	errCanceled  = errors.New("the request was canceled")
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority int
	ready    chan *conn // receives a connection, or nil as permission to open one
}

// connList holds the connections to one target, until the target leaves or has another
// address. From then on no request is sent over them.
type connList struct {
	address    string
	dialTarget DialFunc
	gone       context.Context // ends when the list is retired
	markGone   context.CancelFunc

	mu      sync.Mutex
	idle    []*conn             // most recently used last
	busy    map[*conn]time.Time // connections whose request has no answer yet, since when
	numOpen int                 // open connections, including idle ones, and dials in progress
	waiting []*waiter           // sorted by priority
}

func newConnList(address string, dial DialFunc) *connList {
	l := &connList{address: address, dialTarget: dial}
	l.gone, l.markGone = context.WithCancel(context.Background())
	return l
}

// acquireParams says how many connections of a list may be used, and how long an attempt
// waits for one.
type acquireParams struct {
	priority   int
	maxOpen    int
	maxWaiting int
	withdraw   <-chan struct{} // closed when the request must not be sent any more
}

// acquire returns an idle connection, opens one if fewer than maxOpen are open,
// or waits for one unless maxWaiting requests already wait. Waiting requests are
// served in order of priority, the lowest first. The wait ends when the list is retired
// or the request is withdrawn.
func (l *connList) acquire(ctx context.Context, now time.Time, params acquireParams) (*conn, error) {
	l.mu.Lock()
	if l.gone.Err() != nil {
		l.mu.Unlock()
		return nil, ErrTargetGone
	}
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
	if l.numOpen < params.maxOpen {
		l.numOpen++
		l.mu.Unlock()
		return l.dial(ctx)
	}
	if len(l.waiting) >= params.maxWaiting {
		l.mu.Unlock()
		return nil, ErrNoConnection
	}
	w := &waiter{priority: params.priority, ready: make(chan *conn, 1)}
	i, _ := slices.BinarySearchFunc(l.waiting, params.priority+1, func(x *waiter, p int) int { return x.priority - p })
	l.waiting = slices.Insert(l.waiting, i, w)
	l.mu.Unlock()
	return l.wait(ctx, w, params.withdraw)
}

// wait waits until w receives a connection, or the permission to open one, or
// until there is no use in waiting.
func (l *connList) wait(ctx context.Context, w *waiter, withdraw <-chan struct{}) (*conn, error) {
	cause := ErrNoConnection
	select {
	case c := <-w.ready:
		if c != nil {
			return c, nil
		}
		return l.dial(ctx)
	case <-ctx.Done():
	case <-l.gone.Done():
		cause = ErrTargetGone
	case <-withdraw:
		cause = ErrWithdrawn
	}
	l.mu.Lock()
	i := slices.Index(l.waiting, w)
	if i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	l.mu.Unlock()
	if i >= 0 {
		return nil, cause
	}
	// The connection was handed over just as the wait ended.
	if c := <-w.ready; c != nil {
		l.put(c)
	} else {
		l.release()
	}
	return nil, cause
}

// dial opens a connection that numOpen already counts. It ends when the list is
// retired.
func (l *connList) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.gone, cancel)()
	c, err := l.dialTarget(ctx, "tcp4", l.address)
	if err != nil {
		l.release()
		if l.gone.Err() != nil {
			return nil, errors.Mark(err, ErrTargetGone)
		}
		if tcp.Exhausted(err) {
			return nil, errors.Mark(err, ErrExhausted)
		}
		return nil, errors.Mark(errors.Wrapf(err, "connecting to %s", l.address), ErrConnect)
	}
	return newConn(c), nil
}

// use records that a request is sent on a connection at now. It returns an error if the
// request must not be sent, since the list was retired or the request withdrawn
// meanwhile: this is the last time that an attempt looks.
func (l *connList) use(c *conn, now time.Time, withdraw <-chan struct{}) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone.Err() != nil {
		return ErrTargetGone
	}
	select {
	case <-withdraw:
		return ErrWithdrawn
	default:
	}
	if l.busy == nil {
		l.busy = make(map[*conn]time.Time)
	}
	l.busy[c] = now
	return nil
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
	if l.gone.Err() != nil {
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

// nextWaiter removes and returns the most urgent waiter; nil if there is none. Those of
// a retired list give up by themselves. The caller holds l.mu.
func (l *connList) nextWaiter() *waiter {
	if len(l.waiting) == 0 || l.gone.Err() != nil {
		return nil
	}
	w := l.waiting[0]
	l.waiting = l.waiting[1:]
	return w
}

// retire ends the attempts that have not sent their request yet, and closes the idle
// connections. The others are closed when they are returned.
func (l *connList) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markGone()
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
