package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/reach"
)

// observeZones records which zones have several failing targets, and returns what has
// changed.
func (e *Engine) observeZones(now time.Time, zones map[magnoliashore.ZoneName][]*catalog.Target) map[magnoliashore.ZoneName]reach.Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := make(map[magnoliashore.ZoneName]reach.Change)
	for zone, targets := range zones {
		if change := e.reach.Observe(now, zone, e.severalFail(now, targets)); change != reach.Unchanged {
			changes[zone] = change
		}
	}
	e.reach.Retain(func(zone magnoliashore.ZoneName) bool { return len(zones[zone]) > 0 })
	return changes
}

// severalFail reports whether so many targets of a zone fail that this host may be cut
// off from the zone. The caller holds mu.
func (e *Engine) severalFail(now time.Time, targets []*catalog.Target) bool {
	missing := min(suspiciousTargets, len(targets))
	for _, t := range targets {
		if missing == 0 {
			break
		}
		if e.Balancer.Failing(now, t.ID(), failureWindow, answerPatience) {
			missing--
		}
	}
	return missing == 0
}

// dueTests returns the zones to test now.
func (e *Engine) dueTests(now time.Time) []magnoliashore.ZoneName {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.DueTests(now)
}

// recordTest records the outcome of a test. When a zone can be reached again, what the
// cut has made of the measurements and the connections of its targets is dropped.
func (e *Engine) recordTest(t reach.Test) reach.Change {
	e.mu.Lock()
	now, zones := e.Timer.Now(), e.View().Zones()
	change, targets := e.reach.Record(now, t), zones[t.Zone]
	switch change {
	case reach.CutBegan:
		// A host is often cut off from all zones, and few requests go to some of them.
		for zone := range zones {
			e.reach.Suspect(now, zone)
		}
		if e.cutBegan != nil {
			close(e.cutBegan)
			e.cutBegan = nil
		}
	case reach.Returning:
		for _, target := range targets {
			e.Balancer.Forget(target.ID())
		}
	case reach.Unchanged, reach.Returned:
	}
	e.mu.Unlock()
	switch change {
	case reach.CutBegan:
		e.clearInnocent(t.Zone)
	case reach.Returning:
		for _, target := range targets {
			e.Pool.DropIdle(target.ID())
		}
	case reach.Unchanged, reach.Returned:
	}
	return change
}

// isCut reports whether this host is cut off from the targets of a zone.
func (e *Engine) isCut(zone magnoliashore.ZoneName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.Cut(zone)
}

// cutOff reports whether this host is cut off from the targets of its zone, or from
// all.
func (e *Engine) cutOff(own magnoliashore.ZoneName) bool {
	zones := e.View().Zones()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reach.Cut(own) {
		return true
	}
	for zone := range zones {
		if !e.reach.Cut(zone) {
			return false
		}
	}
	return len(zones) > 0
}

// lacksTargets reports whether this host cannot run a query since it reaches no target
// of too many of its services.
func (e *Engine) lacksTargets(q *query) bool {
	view := e.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reach.Calm() { // fast path: called for each query
		return false
	}
	random := rand.Float64()
	reached := 0
	for _, service := range q.services {
		targets := view.Targets(service)
		for _, t := range targets {
			if e.reach.Direct(t.Zone(), random) {
				reached++
				break
			}
		}
		if len(targets) == 0 {
			reached++ // the service has none, wherever the query runs
		}
	}
	return reached < q.params.MinShards
}

// reachableTargets returns the targets that this host is not cut off from, or all if
// there is none. The caller holds mu.
func (e *Engine) reachableTargets(targets []*catalog.Target) []*catalog.Target {
	if e.reach.Calm() { // fast path: called for each attempt
		return targets
	}
	reachable := slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return e.reach.Cut(t.Zone()) })
	if len(reachable) == 0 {
		return targets
	}
	return reachable
}

// recordAnswer records that a target of a zone has answered. The caller holds mu.
func (e *Engine) recordAnswer(now time.Time, zone magnoliashore.ZoneName) {
	if e.lastAnswers == nil {
		e.lastAnswers = make(map[magnoliashore.ZoneName]time.Time)
	}
	e.lastAnswers[zone] = now
}

// nextCut returns a channel that is closed when this host finds that it is cut off from
// another zone.
func (e *Engine) nextCut() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutBegan == nil {
		e.cutBegan = make(chan struct{})
	}
	return e.cutBegan
}

// silentFor reports whether this host cannot complete a query that runs: it is cut off
// from the targets of too many services, and they are silent. Connections that were
// open before a cut may go on working.
func (e *Engine) silentFor(q *query) bool {
	view := e.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	heard := 0
	for _, service := range q.services {
		targets := view.Targets(service)
		if len(targets) == 0 || slices.ContainsFunc(targets, func(t *catalog.Target) bool {
			return !e.reach.Cut(t.Zone()) || now.Sub(e.lastAnswers[t.Zone()]) <= answerPatience
		}) {
			heard++
		}
	}
	return heard < q.params.MinShards
}
