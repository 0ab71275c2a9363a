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
	// Longest wait for admission, as a share of the objective.
	maxWaitShare = 0.2
	// Longest retry-after that a caller follows, as a share of its timeout.
	maxRetryAfterShare = 0.3
	// Median latency of the shards that indicates overload, as a share of the
	// objective.
	lateMedianShare = 0.5
	// Refused attempts that indicate overload, as a share of the shards.
	overloadRefusedShare = 0.1
)

// gates holds the admission gate of each group of services.
type gates struct {
	timer *timer.Service

	mu      sync.Mutex
	byGroup map[string]*gate
	lastID  uint64
}

// gate is an admission gate with its waiting queries.
type gate struct {
	admit.Gate

	waiting map[uint64]chan struct{} // by query ID; closed when the query may run
}

// admission is the decision on a query, with the state of the gate before it.
type admission struct {
	gates   *gates
	gate    *gate
	limit   int
	running int
}

// admit waits until a query may run, for at most wait or until withdraw is closed. If
// the query is refused, admit returns false and the time after which the caller may
// retry, at most maxRetryAfter.
func (g *gates) admit(ctx context.Context, key string, size gateSize, priority int, wait, maxRetryAfter time.Duration,
	withdraw <-chan struct{},
) (admission, time.Duration, bool) {
	g.mu.Lock()
	current := g.gate(key)
	current.Resize(size.slots, size.hosts)
	a := admission{gates: g, gate: current, limit: current.Limit(), running: current.Running()}
	g.lastID++
	id := g.lastID
	if current.Offer(id, priority) {
		g.mu.Unlock()
		return a, 0, true
	}
	ready := make(chan struct{})
	current.waiting[id] = ready
	g.mu.Unlock()
	timeout := g.timer.After(wait)
	defer timeout.Stop()
	select {
	case <-ready:
		return a, 0, true
	case <-timeout.C:
	case <-ctx.Done():
	case <-withdraw:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(current.waiting, id)
	if !current.Remove(id) {
		return a, 0, true // admitted at the end of the wait
	}
	return a, current.RetryAfter(g.timer.Now(), maxRetryAfter), false
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

// done ends a query. overloaded says whether its targets were overloaded.
func (a admission) done(overloaded bool) {
	a.gates.mu.Lock()
	defer a.gates.mu.Unlock()
	a.gate.Done(a.gates.timer.Now(), overloaded)
	for id, ok := a.gate.Next(); ok; id, ok = a.gate.Next() {
		close(a.gate.waiting[id])
		delete(a.gate.waiting, id)
	}
}

// String describes the state of the gate when the query arrived.
func (a admission) String() string { return fmt.Sprintf("%d of %d queries run", a.running, a.limit) }

// gateSize is the capacity that the queries of a group share.
type gateSize struct {
	slots int // of the median service of the group
	hosts int // hosts that send queries to the group
}

// groupSize returns the size of the group of a query's services.
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

// overloaded reports whether the targets of a query are overloaded: several
// shards refused it, or half of the partial results were late. Single targets
// that are slow or stuck do not affect this.
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

// medianLatency returns the time until half of the shards that this host queries
// itself had answered, or the time so far.
func (r *queryRun) medianLatency(now time.Time) time.Duration {
	if r.directMedian > 0 {
		return r.directMedian
	}
	return now.Sub(r.started)
}
