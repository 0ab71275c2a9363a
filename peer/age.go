package peer

import (
	"sync"
	"time"
)

const (
	// ageAllowance is how much longer than the quickest one a message may
	// have been under way before it counts as having waited.
	ageAllowance = 200 * time.Millisecond
	// ageWindow is for how long the quickest heartbeat counts, and after it
	// for one more window; a wall clock that was set is forgiven after both.
	ageWindow = 5 * time.Second
)

// Age finds messages that lay in the socket of a process that was frozen. It
// compares the sender's wall clock with this host's; the difference between
// the two clocks cancels out against the quickest heartbeat. A nil Age finds
// none.
type Age struct {
	mu       sync.Mutex
	started  time.Time     // of the present window
	current  time.Duration // lowest apparent age of a heartbeat in it
	previous time.Duration // the same in the window before
}

// learn takes in a heartbeat; sent is in microseconds since 1970.
func (a *Age) learn(now time.Time, sent int64) {
	if a == nil {
		return
	}
	apparent := now.Sub(time.UnixMicro(sent))
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.started.IsZero():
		a.started = now
		a.current = apparent
		a.previous = apparent
	case now.Sub(a.started) > ageWindow:
		a.started = now
		a.previous = a.current
		a.current = apparent
	default:
		a.current = min(a.current, apparent)
	}
}

// spent returns how long a message has waited, zero if it came promptly or no
// heartbeat came before it.
func (a *Age) spent(now time.Time, sent int64) time.Duration {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	waited := now.Sub(time.UnixMicro(sent)) - min(a.current, a.previous)
	if a.started.IsZero() || waited < ageAllowance {
		return 0
	}
	return waited
}
