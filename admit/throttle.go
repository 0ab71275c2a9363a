package admit

import "time"

// Sizes of a Throttle.
const (
	throttleWindow = 250 * time.Millisecond // between two looks at the answers
	throttleLeast  = 8                      // answers that a window needs to count
	throttleShare  = 0.1                    // share of overloaded answers that calls for a lower limit
	throttleOver   = 1.05                   // lowest next limit, as a multiple of the full answers
	throttleFall   = 0.85                   // of the admitted rate, in a window of overload
	throttleGrowth = 1.1                    // of the limit, in a window without overload
	throttleSpare  = 2                      // a limit this many times above the load is dropped
	throttleFloor  = 10                     // lowest limit, queries a second
	throttleBurst  = 50 * time.Millisecond  // of the limit that may be saved up
)

// Throttle limits the rate of whole queries to one group at the root while its
// targets cannot answer all of them. Without it, overload makes each target
// refuse other queries than the next one does, so that nearly every answer
// lacks a part. The limit follows the rate of full answers and grows while
// there is no overload; load below the limit is never refused, so that nothing
// lasts when the overload ends. It is not safe for concurrent use.
type Throttle struct {
	limit   float64 // queries a second; zero means none
	tokens  float64
	filled  time.Time
	started time.Time // of the present window
	asked   float64
	passed  float64 // queries admitted
	full    float64
	over    float64
}

// Admit counts a query and reports whether it may run; otherwise it returns
// when to come back.
func (t *Throttle) Admit(now time.Time) (after time.Duration, ok bool) {
	t.turn(now)
	t.asked++
	if t.limit == 0 {
		t.passed++
		return 0, true
	}
	t.fill(now)
	if t.tokens >= 1 {
		t.tokens--
		t.passed++
		return 0, true
	}
	return bound(time.Duration((1 - t.tokens) / t.limit * float64(time.Second))), false
}

// Done counts a query that ran to its end; over reports whether its targets
// had too much work for it.
func (t *Throttle) Done(now time.Time, over bool) {
	t.turn(now)
	if over {
		t.over++
		return
	}
	t.full++
}

// fill adds the tokens that the limit has earned.
func (t *Throttle) fill(now time.Time) {
	most := max(1, t.limit*throttleBurst.Seconds())
	t.tokens = min(most, t.tokens+now.Sub(t.filled).Seconds()*t.limit)
	t.filled = now
}

// turn sets the limit anew once a window has passed.
func (t *Throttle) turn(now time.Time) {
	passed := now.Sub(t.started)
	if passed < throttleWindow {
		return
	}
	if !t.started.IsZero() {
		t.adjust(passed.Seconds())
	}
	t.started = now
	t.asked, t.passed, t.full, t.over = 0, 0, 0, 0
}

func (t *Throttle) adjust(seconds float64) {
	answers := t.full + t.over
	switch {
	case answers >= throttleLeast && t.over > throttleShare*answers:
		t.limit = max(throttleOver*t.full/seconds, throttleFall*t.passed/seconds, throttleFloor)
	case t.limit > throttleSpare*t.asked/seconds:
		t.limit = 0
	default:
		t.limit *= throttleGrowth
	}
}
