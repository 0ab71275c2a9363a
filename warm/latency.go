package warm

import "time"

const (
	// minSlowReplies is the number of consecutive slow replies that make a jump in
	// latency.
	minSlowReplies = 3
	// smoothing is the smoothing factor of the latency.
	smoothing = 1.0 / 8
)

// latency holds the smoothed latency of a target and detects jumps. Slow replies
// do not change the smoothed latency, so that all of them are compared with the
// latency before the jump.
type latency struct {
	slowFactor  float64 // multiple of the smoothed latency above which a reply is slow; 0 turns the check off
	smoothed    float64 // smoothed latency in nanoseconds; zero before the first reply
	slowReplies int     // number of consecutive slow replies
}

// add records the latency of a reply and reports whether it was slow.
func (l *latency) add(took time.Duration) bool {
	value := float64(took)
	if l.smoothed == 0 {
		l.smoothed = value
		return false
	}
	if l.slowFactor > 0 && value > l.slowFactor*l.smoothed {
		l.slowReplies++
		return true
	}
	l.slowReplies = 0
	l.smoothed += smoothing * (value - l.smoothed)
	return false
}

// jumped reports whether the last minSlowReplies replies were all slow.
func (l *latency) jumped() bool { return l.slowReplies >= minSlowReplies }

// reset discards the latency, so that the next reply sets it.
func (l *latency) reset() {
	l.smoothed = 0
	l.slowReplies = 0
}
