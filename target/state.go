package target

import (
	"sync"
	"sync/atomic"
)

// State is the state of the connections to a target.
type State int

// The states of a target.
const (
	// Down means that the target or the kernel ended a connection.
	Down State = iota
	// Up means that a connection is open.
	Up
	// Closed means that this process closed the last connection, which says
	// nothing about the target.
	Closed
)

// String returns the state in one word.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Closed:
		return "closed"
	default:
		return "down"
	}
}

// notifier reports the states of one target in order, one call at a time and
// without holding a lock.
type notifier struct {
	report func(State)

	breaks         atomic.Uint64 // broken connections so far
	reportedBreaks atomic.Uint64 // broken connections reported so far

	mu         sync.Mutex
	pending    []State
	delivering bool
}

// enqueue queues states for deliver.
func (n *notifier) enqueue(states ...State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending = append(n.pending, states...)
	for _, s := range states {
		if s == Down {
			n.breaks.Add(1)
		}
	}
}

// deliver reports the queued states. If another call is already doing so, it
// leaves them to that call.
func (n *notifier) deliver() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delivering {
		return
	}
	n.delivering = true
	for len(n.pending) > 0 {
		s := n.pending[0]
		n.pending = n.pending[1:]
		n.reportUnlocked(s)
		if s == Down {
			n.reportedBreaks.Add(1)
		}
	}
	n.delivering = false
}

// reportUnlocked reports one state. The caller holds n.mu, which is released
// during the report.
func (n *notifier) reportUnlocked(s State) {
	n.mu.Unlock()
	defer n.mu.Lock()
	n.report(s)
}

// connCounter counts the open connections of one link and derives the states
// to report.
type connCounter struct {
	notifier *notifier

	mu      sync.Mutex
	count   int
	retired bool
}

// opened counts a new connection.
func (c *connCounter) opened() {
	c.change(1, func() []State {
		if c.count == 1 {
			return []State{Up}
		}
		return nil
	})
}

// closed subtracts a connection that this process closed.
func (c *connCounter) closed() {
	c.change(-1, func() []State {
		if c.count == 0 {
			return []State{Closed}
		}
		return nil
	})
}

// broken subtracts a connection that broke. If others are open, Up follows
// Down.
func (c *connCounter) broken() {
	c.change(-1, func() []State {
		if c.count == 0 {
			return []State{Down}
		}
		return []State{Down, Up}
	})
}

// retire reports Down if a connection is open, and nothing afterwards.
func (c *connCounter) retire() {
	c.change(0, func() []State {
		c.retired = true
		if c.count > 0 {
			return []State{Down}
		}
		return nil
	})
}

// change adds delta to the count and reports the states that follow from it.
func (c *connCounter) change(delta int, statesAfter func() []State) {
	c.mu.Lock()
	wasRetired := c.retired
	c.count += delta
	states := statesAfter()
	if !wasRetired {
		c.notifier.enqueue(states...)
	}
	c.mu.Unlock()
	c.notifier.deliver()
}
