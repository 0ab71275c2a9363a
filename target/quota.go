package target

import (
	"context"
	"sync"
)

// quota counts the connections to one target at one address, over the links
// that replace each other, so that together they keep the target's limit.
type quota struct {
	address string

	mu   sync.Mutex
	used int           // connections that stand or are being dialed
	up   int           // connections that stand
	free chan struct{} // closed when a connection ends; nil if nobody waits
}

// take waits until fewer than limit connections are used, and uses one.
func (q *quota) take(ctx context.Context, limit int) error {
	for {
		free, ok := q.try(limit)
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-free:
		}
	}
}

// try uses a connection, or returns a channel that is closed when one ends.
func (q *quota) try(limit int) (<-chan struct{}, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used < limit {
		q.used++
		return nil, true
	}
	if q.free == nil {
		q.free = make(chan struct{})
	}
	return q.free, false
}

// opened counts a taken connection as standing.
func (q *quota) opened() {
	q.mu.Lock()
	q.up++
	q.mu.Unlock()
}

// fell counts a connection that no longer stands but still holds its place.
func (q *quota) fell() {
	q.mu.Lock()
	q.up--
	q.mu.Unlock()
}

// give ends the use of a connection that does not stand.
func (q *quota) give() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used--
	if q.free != nil {
		close(q.free)
		q.free = nil
	}
}

// standing returns the number of connections that stand.
func (q *quota) standing() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.up
}
