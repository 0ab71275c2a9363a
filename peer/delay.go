package peer

import (
	"sync"
	"time"
)

const (
	// minDelay is the smallest delay that counts: how much longer than the
	// fastest heartbeat a message must have taken.
	minDelay = 200 * time.Millisecond
	// delayWindow is the length of a window. The fastest heartbeat of the
	// current and the previous window counts, so a wall clock that was set has
	// no effect after two windows.
	delayWindow = 5 * time.Second
)

// DelayEstimator estimates how long a message waited in the socket of a process
// that was frozen. It compares the sender's wall clock with this host's, and
// subtracts the difference seen with the fastest heartbeat, which cancels the
// offset between the two clocks. A nil DelayEstimator returns zero.
type DelayEstimator struct {
	mu       sync.Mutex
	started  time.Time     // start of the current window
	current  time.Duration // least difference of the clocks in the current window
	previous time.Duration // the same for the previous window
}

// observe records a heartbeat. The time sent is in microseconds since 1970.
func (e *DelayEstimator) observe(now time.Time, sent int64) {
	if e == nil {
		return
	}
	difference := now.Sub(time.UnixMicro(sent))
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.started.IsZero():
		e.started = now
		e.current = difference
		e.previous = difference
	case now.Sub(e.started) > delayWindow:
		e.started = now
		e.previous = e.current
		e.current = difference
	default:
		e.current = min(e.current, difference)
	}
}

// delay returns how long a message waited. It returns zero for less than
// minDelay, and before the first heartbeat.
func (e *DelayEstimator) delay(now time.Time, sent int64) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	waited := now.Sub(time.UnixMicro(sent)) - min(e.current, e.previous)
	if e.started.IsZero() || waited < minDelay {
		return 0
	}
	return waited
}
