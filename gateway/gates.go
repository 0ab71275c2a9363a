package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	maxWaitShare         = 0.2 // share of the objective that a query may wait to begin
	maxRetryAfterShare   = 0.3 // of a caller's patience, for which it follows an advice to come back
	lateMedianShare      = 0.5 // share of the objective after which half of the parts are late
	overloadRefusedShare = 0.1 // share of the shards at which refusals are a sign of overload
)

// gates holds the gate of each group of services.
type gates struct {
	timer *timer.Service

	mu      sync.Mutex
	byGroup map[string]*gate
	lastID  uint64
}

// gate is an admission gate with the queries that wait at it.
type gate struct {
	admit.Gate

	waiting map[uint64]chan struct{} // closed when the query may run
}

// admission is the admission of a query.
type admission struct {
	gates   *gates
	gate    *gate
	limit   int
	running int
}

// admit waits until a query of a rank may run, for at most wait. It returns
// false if it may not; the query is then to come back after the given time,
// which is never above most.
func (g *gates) admit(ctx context.Context, key string, size gateSize, priority int, wait, maxRetryAfter time.Duration) (admission, time.Duration, bool) {
	g.mu.Lock()
	current := g.gate(key)
	current.Resize(size.slots, size.hosts)
	p := admission{gates: g, gate: current, limit: current.Limit(), running: current.Running()}
	g.lastID++
	id := g.lastID
	if current.Offer(id, priority) {
		g.mu.Unlock()
		return p, 0, true
	}
	ready := make(chan struct{})
	current.waiting[id] = ready
	g.mu.Unlock()
	timeout := g.timer.After(wait)
	defer timeout.Stop()
	select {
	case <-ready:
		return p, 0, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(current.waiting, id)
	if !current.Remove(id) {
		return p, 0, true // admitted at the same moment
	}
	return p, current.RetryAfter(g.timer.Now(), maxRetryAfter), false
}

func (g *gates) gate(key string) *gate {
	if g.byGroup == nil {
		g.byGroup = make(map[string]*gate)
	}
	current, ok := g.byGroup[key]
	if !ok {
		current = &gate{waiting: make(map[uint64]chan struct{})}
		g.byGroup[key] = current
	}
	return current
}

// done ends a query; over reports whether its targets had too much work.
func (p admission) done(overloaded bool) {
	p.gates.mu.Lock()
	defer p.gates.mu.Unlock()
	p.gate.Done(p.gates.timer.Now(), overloaded)
	for id, ok := p.gate.Next(); ok; id, ok = p.gate.Next() {
		close(p.gate.waiting[id])
		delete(p.gate.waiting, id)
	}
}

// String returns what decided on the admission.
func (p admission) String() string { return fmt.Sprintf("%d of %d queries run", p.running, p.limit) }

// gateSize is what the queries of a group share.
type gateSize struct {
	slots int // of a typical service of the group
	hosts int
}

// groupSize returns the size of the group that a query's services form.
func groupSize(view *catalog.View, services []magnoliashore.ServiceName, hosts int) gateSize {
	slots := make([]int, 0, len(services))
	for _, service := range services {
		sum := 0
		for _, t := range view.Targets(service) {
			sum += t.Slots()
		}
		if sum > 0 {
			slots = append(slots, sum)
		}
	}
	if len(slots) == 0 {
		return gateSize{slots: 1, hosts: hosts}
	}
	slices.Sort(slots)
	return gateSize{slots: slots[len(slots)/2], hosts: hosts}
}

// overloaded reports whether the targets of a query had too much work for it:
// they refused it at several shards, or half of the parts came late. Single
// targets that are slow or stand still do not show in that.
func (r *queryRun) overloaded(now time.Time, objective time.Duration) bool {
	if float64(r.refused) > overloadRefusedShare*float64(len(r.query.services)) {
		return true
	}
	late := time.Duration(lateMedianShare * float64(objective))
	if !r.query.scatter {
		late = objective
	}
	if objective <= 0 {
		return false
	}
	if r.directShards > 0 {
		return r.medianLatency(now) > late
	}
	return r.batchMedian > late
}

// medianLatency returns how long half of the shards that are asked from here took.
func (r *queryRun) medianLatency(now time.Time) time.Duration {
	if r.directMedian > 0 {
		return r.directMedian
	}
	return now.Sub(r.started)
}
