package warm

import "time"

const (
	// slowRow is how many slow replies in a row are a jump of the latency.
	slowRow = 3
	// smoothing is the weight of a new reply in the smoothed latency.
	smoothing = 1.0 / 8
)

// latency is the smoothed latency of a target. Slow replies do not enter it,
// so that the row of them is compared with the latency before the jump.
type latency struct {
	jump   float64 // multiple of the smoothed latency above which a reply is slow
	smooth float64 // nanoseconds; zero means not known
	row    int     // slow replies in a row
}

// add takes in one reply and reports whether it was slow.
func (l *latency) add(took time.Duration) bool {
	value := float64(took)
	if l.smooth == 0 {
		l.smooth = value
		return false
	}
	if l.jump > 0 && value > l.jump*l.smooth {
		l.row++
		return true
	}
	l.row = 0
	l.smooth += smoothing * (value - l.smooth)
	return false
}

// jumped reports whether the last slowRow replies were all slow.
func (l *latency) jumped() bool { return l.row >= slowRow }

// reset forgets the latency, so that the next level is learnt anew.
func (l *latency) reset() {
	l.smooth = 0
	l.row = 0
}
