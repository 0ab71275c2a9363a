// Package ring provides a bounded queue between goroutines. A full queue
// refuses new items instead of blocking the sender or growing.
package ring

import "sync/atomic"

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Push adds item. If the ring is full, Push counts a refusal and returns false.
func (r *Ring[T]) Push(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel to receive items from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns the number of items refused so far.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
