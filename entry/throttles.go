package entry

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/settings"
)

// throttles holds the throttle of each group at this root.
type throttles struct {
	host *Host

	mu   sync.Mutex
	list map[magnoliashore.GroupName]*admit.Throttle
}

func newThrottles(h *Host) *throttles {
	return &throttles{host: h, list: make(map[magnoliashore.GroupName]*admit.Throttle)}
}

// admit reports whether a query of the group may run, or when to come back.
func (t *throttles) admit(group magnoliashore.GroupName) (time.Duration, bool) {
	if t.host.Settings.Policy.Throttle == settings.ThrottleOff {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.of(group).Admit(t.host.Timer.Now())
}

// done counts a query that ran to its end.
func (t *throttles) done(group magnoliashore.GroupName, over bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(group).Done(t.host.Timer.Now(), over)
}

func (t *throttles) of(group magnoliashore.GroupName) *admit.Throttle {
	throttle, ok := t.list[group]
	if !ok {
		throttle = &admit.Throttle{}
		t.list[group] = throttle
	}
	return throttle
}

// overloaded reports whether targets refused the query for too much work on
// more than one partition, or on the only one. A single partition that is
// overloaded costs its part of the answers, not whole queries.
func (g *gatherer) overloaded() bool {
	return g.crowded > 1 || g.crowded == len(g.pieces)
}

// isCrowded reports whether a refusal says that there is too much work.
func isCrowded(answer magnoliashore.SubAnswer) bool {
	if answer.Outcome() != magnoliashore.OutcomeNotRun {
		return false
	}
	switch answer.Reason() {
	case magnoliashore.ReasonBusy, magnoliashore.ReasonDeadline, magnoliashore.ReasonShed:
		return true
	default:
		return false
	}
}
