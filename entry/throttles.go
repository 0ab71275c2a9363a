package entry

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/settings"
)

// throttles holds one throttle per group for the queries that this host
// coordinates.
type throttles struct {
	host *Host

	mu   sync.Mutex
	list map[magnoliashore.GroupName]*admit.Throttle
}

func newThrottles(h *Host) *throttles {
	return &throttles{host: h, list: make(map[magnoliashore.GroupName]*admit.Throttle)}
}

// admit reports whether a query of the group may run. If not, it returns the time
// after which to retry.
func (t *throttles) admit(group magnoliashore.GroupName) (time.Duration, bool) {
	if t.host.Settings.Policy.Throttle == settings.ThrottleOff {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throttle(group).Admit(t.host.Timer.Now())
}

// done counts a finished query and whether its targets were overloaded.
func (t *throttles) done(group magnoliashore.GroupName, overloaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttle(group).Done(t.host.Timer.Now(), overloaded)
}

// throttle returns the throttle of the group. The caller holds t.mu.
func (t *throttles) throttle(group magnoliashore.GroupName) *admit.Throttle {
	throttle, ok := t.list[group]
	if !ok {
		throttle = &admit.Throttle{}
		t.list[group] = throttle
	}
	return throttle
}

// overloaded reports whether targets refused the query because of overload on more
// than one partition, or on the only one. One overloaded partition among several
// costs its partial result, but does not throttle whole queries.
func (g *gatherer) overloaded() bool {
	return g.overloadedPartitions > 1 || g.overloadedPartitions == len(g.partitions)
}

// isOverload reports whether the sub-request was refused because of overload.
func isOverload(answer magnoliashore.SubAnswer) bool {
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
