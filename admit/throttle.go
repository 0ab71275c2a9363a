package admit

import "time"

// Parameters of a Throttle.
const (
	throttleWindow            = 250 * time.Millisecond // time between two adjustments of the limit
	throttleMinAnswers        = 8                      // least number of answers in a window for it to show overload
	throttleOverloadShare     = 0.1                    // share of overloaded answers above which a window shows overload
	throttleFullAnswersFactor = 1.05                   // least limit after overload, as a multiple of the rate of full answers
	throttleAdmittedFactor    = 0.85                   // least limit after overload, as a multiple of the admitted rate
	throttleGrowthFactor      = 1.1                    // factor applied to the limit after a window without overload
	throttleRemovalFactor     = 2                      // a limit above this multiple of the load is removed
	throttleMinLimit          = 10                     // lowest limit, in queries per second
	throttleBurst             = 50 * time.Millisecond  // duration whose tokens may accumulate
)

// Throttle limits the rate of whole queries to one group, at the coordinator,
// while the group's targets cannot answer all of them. Without it, each target
// under overload refuses different queries, so that nearly every answer lacks a
// partial result. The limit follows the rate of full answers and grows while
// there is no overload. Load below the limit is never refused, so that refusals
// stop when the overload ends. It is not safe for concurrent use.
type Throttle struct {
	limit       float64 // queries per second; zero means no limit
	tokens      float64
	refilled    time.Time // time of the last refill
	windowStart time.Time // start of the current window
	offered     float64   // queries offered in the current window
	admitted    float64   // queries admitted in the current window
	full        float64   // full answers in the current window
	overloaded  float64   // answers with overloaded targets in the current window
}

// Admit counts a query and reports whether it may run. If it may not, retryAfter
// is the time after which to retry it.
func (t *Throttle) Admit(now time.Time) (retryAfter time.Duration, ok bool) {
	t.rollWindow(now)
	t.offered++
	if t.limit == 0 {
		t.admitted++
		return 0, true
	}
	t.refill(now)
	if t.tokens >= 1 {
		t.tokens--
		t.admitted++
		return 0, true
	}
	return clampRetryAfter(time.Duration((1 - t.tokens) / t.limit * float64(time.Second))), false
}

// Done counts a finished query; overloaded reports whether its targets were
// overloaded.
func (t *Throttle) Done(now time.Time, overloaded bool) {
	t.rollWindow(now)
	if overloaded {
		t.overloaded++
		return
	}
	t.full++
}

// refill refills the token bucket at the rate of the limit.
func (t *Throttle) refill(now time.Time) {
	maxTokens := max(1, t.limit*throttleBurst.Seconds())
	t.tokens = min(maxTokens, t.tokens+now.Sub(t.refilled).Seconds()*t.limit)
	t.refilled = now
}

// rollWindow adjusts the limit and starts a new window if the current one has
// ended.
func (t *Throttle) rollWindow(now time.Time) {
	elapsed := now.Sub(t.windowStart)
	if elapsed < throttleWindow {
		return
	}
	if !t.windowStart.IsZero() {
		t.adjust(elapsed.Seconds())
	}
	t.windowStart = now
	t.offered, t.admitted, t.full, t.overloaded = 0, 0, 0, 0
}

func (t *Throttle) adjust(seconds float64) {
	answers := t.full + t.overloaded
	switch {
	case answers >= throttleMinAnswers && t.overloaded > throttleOverloadShare*answers:
		t.limit = max(throttleFullAnswersFactor*t.full/seconds, throttleAdmittedFactor*t.admitted/seconds, throttleMinLimit)
	case t.limit > throttleRemovalFactor*t.offered/seconds:
		t.limit = 0
	default:
		t.limit *= throttleGrowthFactor
	}
}
