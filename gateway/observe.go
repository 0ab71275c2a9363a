package gateway

import (
	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// typicalReplicas is the usual number of targets of a shard.
const typicalReplicas = 3

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
	return e.Balancer.Report(e.Timer.Now(), targets)
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
