package warm

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Observe records the outcome of one exchange. Without a connection, a reply can
// lower the estimate but not raise it.
func (t *Tracker) Observe(now time.Time, evidence magnoliashore.Evidence) {
	t.expire(now)
	t.observeIncarnation(evidence.Incarnation)
	if evidence.Cold {
		t.turnCold(reasonTold)
		return
	}
	if evidence.Shed {
		t.observeShed()
		return
	}
	if evidence.Healthy && t.connected {
		t.observeHealthy(now, evidence.Latency)
	}
}

// observeIncarnation makes the target cold if its incarnation has changed. An
// empty incarnation is ignored.
func (t *Tracker) observeIncarnation(incarnation string) {
	if incarnation == "" || incarnation == t.incarnation {
		return
	}
	changed := t.incarnation != ""
	t.incarnation = incarnation
	if changed {
		t.turnCold(reasonRestart)
	}
}

// observeShed counts a refusal because of load. It also restarts the current
// step of the ramp.
func (t *Tracker) observeShed() {
	t.healthy = 0
	t.sheds++
	if t.sheds >= t.cfg.ShedLimit {
		t.turnCold(reasonShed)
	}
}

// observeHealthy records a valid reply. A slow one does not count for the ramp.
func (t *Tracker) observeHealthy(now time.Time, took time.Duration) {
	t.sheds = 0
	t.lastReply = now
	slow := t.latency.add(took)
	if t.latency.jumped() {
		t.turnCold(reasonLatency)
		return
	}
	if slow {
		return
	}
	t.step()
}

// step counts a reply for the ramp and raises the limit when the current step is
// complete.
func (t *Tracker) step() {
	if t.warm && t.limit == t.cfg.Slots {
		return
	}
	t.healthy++
	if t.healthy < t.cfg.RepliesPerStep {
		return
	}
	t.healthy = 0
	t.limit = min(t.limit+1, t.cfg.Slots)
	if t.limit == t.cfg.Slots {
		t.warm = true
	}
}
