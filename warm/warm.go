// Package warm estimates, on an entry host, how many concurrent requests a
// target can run now.
//
// A target counts as warm only while it is connected and healthy replies keep
// arriving. Anything else lowers the limit to the cold limit at once. The limit
// then rises by one request after each step of healthy replies.
package warm

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Results of ColdReason: why a target last became cold.
const (
	reasonNew     = "new"     // initial value
	reasonLost    = "lost"    // a connection broke
	reasonRestart = "restart" // its incarnation changed
	reasonShed    = "shed"    // it refused requests because of load
	reasonLatency = "latency" // its latency jumped
	reasonStale   = "stale"   // its last valid reply is older than MaxAge
	reasonTold    = "told"    // a reply or a health report said that it is cold
)

// Config holds the settings of a Tracker.
type Config struct {
	ColdLimit      int           // concurrent requests that the cold target can run, at least 1
	Slots          int           // concurrent requests that the warm target can run, at least ColdLimit
	MaxAge         time.Duration // time for which a healthy reply keeps the target warm
	SlowFactor     float64       // a reply is slow above this multiple of the smoothed latency; 0 turns the check off
	ShedLimit      int           // consecutive refusals because of load that make the target cold, at least 1
	RepliesPerStep int           // healthy replies needed before the limit rises by one request, at least 1
}

// Tracker keeps the warmth estimate of one target. It implements
// magnoliashore.Warmth and is not safe for concurrent use: Limit and Cold also
// change it, because they apply the expiry of the estimate. The times passed to
// it must not decrease.
type Tracker struct {
	cfg         Config
	connected   bool
	warm        bool
	limit       int
	healthy     int // healthy replies at the current limit
	sheds       int // consecutive refusals because of load
	latency     latency
	incarnation string
	lastReply   time.Time // time of the last valid reply
	coldReason  string
}

var _ magnoliashore.Warmth = (*Tracker)(nil)

// New returns a tracker of a cold target that is not connected. Values of cfg
// below the minimum stated in Config are raised to it, and Cold is lowered to
// Slots if it is above.
func New(cfg Config) *Tracker {
	cfg.ShedLimit = max(cfg.ShedLimit, 1)
	cfg.RepliesPerStep = max(cfg.RepliesPerStep, 1)
	t := &Tracker{cfg: cfg, coldReason: reasonNew, latency: latency{slowFactor: cfg.SlowFactor}}
	t.setSize(cfg.ColdLimit, cfg.Slots)
	t.limit = t.cfg.ColdLimit
	return t
}

// Resize changes Cold and Slots of the Config. A warm target stays warm: if slots
// falls, its limit falls at once, and if slots rises, its limit rises in steps.
// The ramp of a cold target restarts if cold falls.
func (t *Tracker) Resize(cold, slots int) {
	oldCold := t.cfg.ColdLimit
	t.setSize(cold, slots)
	if !t.warm && t.cfg.ColdLimit < oldCold {
		t.restart()
	}
	t.limit = min(max(t.limit, t.cfg.ColdLimit), t.cfg.Slots)
}

// ColdReason returns in one word why the target last became cold: new, lost,
// restart, shed, latency, stale or told.
func (t *Tracker) ColdReason() string { return t.coldReason }

// Connected records that the target is connected. If it was not connected before,
// the ramp starts at the cold limit.
func (t *Tracker) Connected(time.Time) {
	if t.connected {
		return
	}
	t.connected = true
	t.restart()
}

// Lost records that a connection broke. The target becomes cold at once and stays
// cold until Connected is called. If other connections are still open, call
// Connected again. Do not call Lost for a connection that this host closed
// itself, to cancel a request, while others are open.
func (t *Tracker) Lost(time.Time) {
	t.connected = false
	t.turnCold(reasonLost)
}

// Hint records a report of the target's health. A report that the target is cold
// makes it cold at once; any other report changes nothing.
func (t *Tracker) Hint(now time.Time, cold bool) {
	t.expire(now)
	if cold {
		t.turnCold(reasonTold)
	}
}

// Limit returns how many requests may run concurrently now. Without a connection
// it is the cold limit, so that a first exchange is possible.
func (t *Tracker) Limit(now time.Time) int {
	t.expire(now)
	return t.limit
}

// Cold reports whether work needs a lease now because there is no connection,
// the ramp is not complete, or the last valid reply is older than MaxAge.
func (t *Tracker) Cold(now time.Time) bool {
	t.expire(now)
	return !t.warm
}

func (t *Tracker) setSize(cold, slots int) {
	t.cfg.Slots = max(slots, 1)
	t.cfg.ColdLimit = min(max(cold, 1), t.cfg.Slots)
}

// expire makes the target cold if the last valid reply is older than MaxAge.
func (t *Tracker) expire(now time.Time) {
	if !t.aboveCold() {
		return
	}
	if now.Sub(t.lastReply) > t.cfg.MaxAge {
		t.turnCold(reasonStale)
	}
}

// aboveCold reports whether the target is warm or on the ramp, so that its
// estimate can expire.
func (t *Tracker) aboveCold() bool {
	return t.warm || t.healthy > 0 || t.limit > t.cfg.ColdLimit
}

// turnCold makes the target cold and records the reason.
func (t *Tracker) turnCold(reason string) {
	t.coldReason = reason
	t.restart()
}

// restart returns the ramp to its first step.
func (t *Tracker) restart() {
	t.warm = false
	t.limit = t.cfg.ColdLimit
	t.healthy = 0
	t.sheds = 0
	t.latency.reset()
}
