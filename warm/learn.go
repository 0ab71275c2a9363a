package warm

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Observe takes in the evidence of one exchange. A reply that arrives while no
// connection stands can lower the belief but not raise it.
func (b *Tracker) Observe(now time.Time, evidence magnoliashore.Evidence) {
	b.expire(now)
	b.learnIncarnation(evidence.Incarnation)
	if evidence.Cold {
		b.fall(whyTold)
		return
	}
	if evidence.Shed {
		b.learnShed()
		return
	}
	if evidence.Healthy && b.connected {
		b.learnHealthy(now, evidence.Took)
	}
}

// learnIncarnation makes the target cold if another process answers. An empty
// incarnation says nothing.
func (b *Tracker) learnIncarnation(incarnation string) {
	if incarnation == "" || incarnation == b.incarnation {
		return
	}
	known := b.incarnation != ""
	b.incarnation = incarnation
	if known {
		b.fall(whyRestart)
	}
}

// learnShed counts a refusal for load. It also starts the present step of the
// ramp again.
func (b *Tracker) learnShed() {
	b.healthy = 0
	b.sheds++
	if b.sheds >= b.cfg.ShedLimit {
		b.fall(whyShed)
	}
}

// learnHealthy counts a valid reply. A slow one does not count for the ramp.
func (b *Tracker) learnHealthy(now time.Time, took time.Duration) {
	b.sheds = 0
	b.seen = now
	slow := b.latency.add(took)
	if b.latency.jumped() {
		b.fall(whyLatency)
		return
	}
	if slow {
		return
	}
	b.step()
}

// step counts one reply for the ramp, and raises the limit when the present
// step is complete.
func (b *Tracker) step() {
	if b.warm && b.limit == b.cfg.Slots {
		return
	}
	b.healthy++
	if b.healthy < b.cfg.RepliesPerStep {
		return
	}
	b.healthy = 0
	b.limit = min(b.limit+1, b.cfg.Slots)
	if b.limit == b.cfg.Slots {
		b.warm = true
	}
}
