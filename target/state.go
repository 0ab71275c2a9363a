package target

import (
	"sync"
	"sync/atomic"
)

// State says whether a connection to a target stands.
type State int

// The states of a target.
const (
	// Down says that the target or the kernel broke a connection.
	Down State = iota
	// Up says that a connection stands.
	Up
	// Closed says that this process closed the last connection, which says
	// nothing of the target.
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

// notes delivers the states of one target in order, one call at a time and
// outside any lock.
type notes struct {
	report func(State)

	broken atomic.Uint64 // breaks so far
	told   atomic.Uint64 // breaks that have been reported

	mu      sync.Mutex
	pending []State
	busy    bool
}

// add queues states. They are delivered by deliver.
func (n *notes) add(states ...State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending = append(n.pending, states...)
	for _, s := range states {
		if s == Down {
			n.broken.Add(1)
		}
	}
}

// deliver reports the queued states. If a delivery is under way, it is left to
// that one.
func (n *notes) deliver() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return
	}
	n.busy = true
	for len(n.pending) > 0 {
		s := n.pending[0]
		n.pending = n.pending[1:]
		n.call(s)
		if s == Down {
			n.told.Add(1)
		}
	}
	n.busy = false
}

// call reports one state; n.mu is held, but not during the report.
func (n *notes) call(s State) {
	n.mu.Unlock()
	defer n.mu.Lock()
	n.report(s)
}

// watch counts the standing connections of one link.
type watch struct {
	notes *notes

	mu      sync.Mutex
	count   int
	retired bool
}

// opened counts a new connection.
func (w *watch) opened() {
	w.change(1, func() []State {
		if w.count == 1 {
			return []State{Up}
		}
		return nil
	})
}

// closed counts a connection that this process closed.
func (w *watch) closed() {
	w.change(-1, func() []State {
		if w.count == 0 {
			return []State{Closed}
		}
		return nil
	})
}

// broke counts a connection that broke. Where others stand, Up follows Down.
func (w *watch) broke() {
	w.change(-1, func() []State {
		if w.count == 0 {
			return []State{Down}
		}
		return []State{Down, Up}
	})
}

// retire reports Down if a connection stands, and nothing afterwards.
func (w *watch) retire() {
	w.change(0, func() []State {
		w.retired = true
		if w.count > 0 {
			return []State{Down}
		}
		return nil
	})
}

// change adds d to the count and reports the states that follow from it.
func (w *watch) change(d int, follow func() []State) {
	w.mu.Lock()
	silent := w.retired
	w.count += d
	states := follow()
	if !silent {
		w.notes.add(states...)
	}
	w.mu.Unlock()
	w.notes.deliver()
}
