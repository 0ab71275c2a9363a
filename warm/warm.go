// Package warm provides the belief of one entry host about how much work one
// target bears now.
//
// A target is held warm only while a connection to it stands and healthy
// replies keep arriving. Everything else lowers the limit to the cold limit at
// once. The limit rises again by one request after each step of healthy
// replies.
package warm

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// The words that Why returns.
const (
	whyNew     = "new"
	whyLost    = "lost"
	whyRestart = "restart"
	whyShed    = "shed"
	whyLatency = "latency"
	whyStale   = "stale"
	whyTold    = "told"
)

// Config holds the settings of a Tracker.
type Config struct {
	Cold           int           // requests that the cold target bears at once, at least 1
	Slots          int           // requests that the warm target runs at once, at least Cold
	MaxAge         time.Duration // how long one healthy reply supports the belief
	SlowFactor     float64       // a reply is slow above this multiple of the smoothed latency; 0 turns the check off
	ShedLimit      int           // refusals for load in a row that make the target cold, at least 1
	RepliesPerStep int           // healthy replies needed before the limit rises by one request, at least 1
}

// Tracker is the belief in the warmth of one target. It implements
// magnoliashore.Warmth. It is not safe for concurrent use. Limit and Cold let
// the belief expire, so they change it too. Times passed to it must not go
// back.
type Tracker struct {
	cfg         Config
	connected   bool
	warm        bool
	limit       int
	healthy     int // healthy replies at the present limit
	sheds       int // refusals for load in a row
	latency     latency
	incarnation string
	seen        time.Time // when the last valid reply arrived
	why         string
}

var _ magnoliashore.Warmth = (*Tracker)(nil)

// New returns a belief that is cold and not connected. Values of cfg below
// the least that Config states are raised to it, and Cold is lowered to Slots
// if it is above.
func New(cfg Config) *Tracker {
	cfg.ShedLimit = max(cfg.ShedLimit, 1)
	cfg.RepliesPerStep = max(cfg.RepliesPerStep, 1)
	b := &Tracker{cfg: cfg, why: whyNew, latency: latency{jump: cfg.SlowFactor}}
	b.setSize(cfg.Cold, cfg.Slots)
	b.limit = b.cfg.Cold
	return b
}

// Resize applies a changed row: cold and slots are as in Config. A warm target
// stays warm: its limit falls at once to lower slots, and rises by steps to
// higher ones. The ramp of a cold target starts again if cold falls.
func (b *Tracker) Resize(cold, slots int) {
	before := b.cfg.Cold
	b.setSize(cold, slots)
	if !b.warm && b.cfg.Cold < before {
		b.restart()
	}
	b.limit = min(max(b.limit, b.cfg.Cold), b.cfg.Slots)
}

// ColdReason returns in one word why the target turned cold last: new, lost, restart,
// shed, latency, stale or told.
func (b *Tracker) ColdReason() string { return b.why }

// Connected records that a connection to the target stands. If none stood
// before, the ramp starts at the cold limit.
func (b *Tracker) Connected(time.Time) {
	if b.connected {
		return
	}
	b.connected = true
	b.restart()
}

// Lost records that a connection broke. The target is cold at once, and stays
// so until Connected is called, also if other connections still stand: the
// caller then calls Connected again. A connection that this host closed itself,
// to cancel a request, is not lost while others stand: do not report it.
func (b *Tracker) Lost(time.Time) {
	b.connected = false
	b.fall(whyLost)
}

// Hint takes in a report of the target's health. A report that the target is
// cold makes it cold at once; any other report changes nothing.
func (b *Tracker) Hint(now time.Time, cold bool) {
	b.expire(now)
	if cold {
		b.fall(whyTold)
	}
}

// Limit returns how many requests may run at once now. Without a connection
// it is the cold limit, so that a first exchange can happen.
func (b *Tracker) Limit(now time.Time) int {
	b.expire(now)
	return b.limit
}

// Cold reports whether work needs a lease now: there is no connection, the
// ramp is not complete, or the last valid reply is older than Fresh.
func (b *Tracker) Cold(now time.Time) bool {
	b.expire(now)
	return !b.warm
}

func (b *Tracker) setSize(cold, slots int) {
	b.cfg.Slots = max(slots, 1)
	b.cfg.Cold = min(max(cold, 1), b.cfg.Slots)
}

// expire lets the belief fall if the last valid reply is older than Fresh.
func (b *Tracker) expire(now time.Time) {
	if !b.trusts() {
		return
	}
	if now.Sub(b.seen) > b.cfg.MaxAge {
		b.fall(whyStale)
	}
}

// trusts reports whether there is anything for the belief to lose.
func (b *Tracker) trusts() bool {
	return b.warm || b.healthy > 0 || b.limit > b.cfg.Cold
}

// fall makes the target cold for the reason why.
func (b *Tracker) fall(why string) {
	b.why = why
	b.restart()
}

// restart puts the ramp back to its first step.
func (b *Tracker) restart() {
	b.warm = false
	b.limit = b.cfg.Cold
	b.healthy = 0
	b.sheds = 0
	b.latency.reset()
}
