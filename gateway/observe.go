package gateway

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
)

const (
	// Usual number of targets of a shard.
	typicalReplicas = 3
	// Observations that a host sends per second. At 29 bytes each, they stay below
	// 7 KB/s whatever the rate of queries.
	maxObservationRate = 240.0
)

// observationLimit is a token bucket for the observations that a host sends.
type observationLimit struct {
	tokens   float64
	refilled time.Time
}

// take returns how many of n observations may be sent now, and counts them.
func (l *observationLimit) take(now time.Time, n int) int {
	l.tokens = min(l.tokens+maxObservationRate*now.Sub(l.refilled).Seconds(), maxObservationRate)
	l.refilled = now
	n = min(n, int(l.tokens))
	l.tokens -= float64(n)
	return n
}

// report returns what this host knows about the slow and failing targets of some
// services, for another host that queries them too.
func (e *Engine) report(services []magnoliashore.ServiceName) []balance.Observation {
	view := e.View()
	targets := make([]*catalog.Target, 0, typicalReplicas*len(services))
	for _, service := range services {
		targets = append(targets, view.Targets(service)...)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	observations := e.Balancer.Report(now, targets)
	return observations[:e.observations.take(now, len(observations))]
}

// adopt takes over the observations of another host. It drops those that are out
// of range or name an unknown target.
func (e *Engine) adopt(observations []balance.Observation) {
	if len(observations) == 0 {
		return
	}
	view := e.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	for _, o := range observations {
		if !o.Valid() || !view.Has(o.Target) {
			e.Metrics.observationsDropped.Inc()
			continue
		}
		e.Balancer.Adopt(now, o)
		e.Metrics.observations.Inc()
	}
}
