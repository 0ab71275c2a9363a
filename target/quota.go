package target

import (
	"context"
	"sync"
)

// quota counts the connections to one target at one address, across the links
// that replace each other, so that together they respect the target's limit.
type quota struct {
	address string

	mu          sync.Mutex
	used        int           // open and closing connections, and dials in progress
	established int           // open connections
	released    chan struct{} // closed when a connection is released; nil if nothing waits for one
}

// acquire waits until fewer than limit connections are used, and reserves one.
func (q *quota) acquire(ctx context.Context, limit int) error {
	for {
		released, ok := q.tryAcquire(limit)
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-released:
		}
	}
}

// tryAcquire reserves a connection, or returns a channel that is closed when
// one is released.
func (q *quota) tryAcquire(limit int) (<-chan struct{}, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used < limit {
		q.used++
		return nil, true
	}
	if q.released == nil {
		q.released = make(chan struct{})
	}
	return q.released, false
}

// opened counts a reserved connection as open.
func (q *quota) opened() {
	q.mu.Lock()
	q.established++
	q.mu.Unlock()
}

// ended counts a connection as no longer open. It stays reserved until it is
// released.
func (q *quota) ended() {
	q.mu.Lock()
	q.established--
	q.mu.Unlock()
}

// release ends the reservation of a connection that is not open.
func (q *quota) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used--
	if q.released != nil {
		close(q.released)
		q.released = nil
	}
}

// numEstablished returns the number of open connections.
func (q *quota) numEstablished() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.established
}
