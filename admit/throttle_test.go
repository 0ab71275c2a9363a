package admit

import (
	"testing"
	"time"
)

// TestThrottleFollowsCapacity offers 1 and then 3 times what a server answers,
// and then 1 times again.
func TestThrottleFollowsCapacity(t *testing.T) {
	t.Parallel()
	const capacity = 100 // queries a second
	var throttle Throttle
	now, room := start, 0.0 // room is what the server can take now
	for _, phase := range []struct {
		name        string
		load        int
		least, most int // admitted a second, from the third second on
	}{
		{"once", 1, 100, 100},
		{"three times", 3, 95, 130},
		{"once again", 1, 98, 100},
	} {
		for second := range 8 {
			admitted := 0
			for range capacity * phase.load {
				now = now.Add(time.Second / time.Duration(capacity*phase.load))
				room = min(room+1/float64(phase.load), 5)
				if _, ok := throttle.Admit(now); ok {
					admitted++
					throttle.Done(now, room < 1)
					room = max(room-1, 0)
				}
			}
			if second >= 2 && (admitted < phase.least || admitted > phase.most) {
				t.Errorf("%s, second %d: got %d admitted, want %d to %d",
					phase.name, second, admitted, phase.least, phase.most)
			}
		}
	}
}
