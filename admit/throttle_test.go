package admit

import (
	"testing"
	"time"
)

// TestThrottleFollowsCapacity offers queries at the server's capacity, then at
// three times its capacity, and then at its capacity again.
func TestThrottleFollowsCapacity(t *testing.T) {
	t.Parallel()
	const capacity = 100 // queries per second
	var throttle Throttle
	now, free := start, 0.0 // free is the number of queries that the server can run now
	for _, phase := range []struct {
		name                     string
		load                     int // multiple of the capacity
		minAdmitted, maxAdmitted int // bounds of admitted queries per second, from the third second on
	}{
		{"once", 1, 100, 100},
		{"three times", 3, 95, 130},
		{"once again", 1, 98, 100},
	} {
		for second := range 8 {
			admitted := 0
			for range capacity * phase.load {
				now = now.Add(time.Second / time.Duration(capacity*phase.load))
				free = min(free+1/float64(phase.load), 5)
				if _, ok := throttle.Admit(now); ok {
					admitted++
					throttle.Done(now, free < 1)
					free = max(free-1, 0)
				}
			}
			if second >= 2 && (admitted < phase.minAdmitted || admitted > phase.maxAdmitted) {
				t.Errorf("%s, second %d: got %d admitted, want %d to %d",
					phase.name, second, admitted, phase.minAdmitted, phase.maxAdmitted)
			}
		}
	}
}
