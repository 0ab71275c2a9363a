// Package ring provides the bounded queue that joins two duties. A full ring
// refuses; it never blocks the sender and never grows.
package ring

import "sync/atomic"

// Ring is a bounded first-in-first-out queue between goroutines.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Push adds item, or counts a refusal and returns false if the ring is full.
func (r *Ring[T]) Push(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the receiving side, for use in select.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items were refused since the start.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
