package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/apex/log"

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
	// Least time between two log lines on observations of other hosts.
	adoptionLogInterval = time.Second
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

// adoptions counts the observations of other hosts since the last log line.
type adoptions struct {
	adopted, dropped int
	worst            balance.Observation // the adopted one with the highest cost
	logged           time.Time
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
	if !e.reach.Calm() {
		targets = slices.DeleteFunc(targets, func(t *catalog.Target) bool { return !e.reach.Reliable(t.Zone()) })
	}
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
			e.adoptions.dropped++
			e.Metrics.observationsDropped.Inc()
			continue
		}
		e.Metrics.observations.Inc()
		if !e.Balancer.Adopt(now, o) {
			continue
		}
		e.adoptions.adopted++
		if o.Cost() > e.adoptions.worst.Cost() {
			e.adoptions.worst = o
		}
	}
	e.logAdoptions(now)
}

// logAdoptions logs the observations adopted and dropped since the last such line.
// The caller holds mu.
func (e *Engine) logAdoptions(now time.Time) {
	a := e.adoptions
	if a.adopted+a.dropped == 0 || now.Sub(a.logged) < adoptionLogInterval {
		return
	}
	e.Log.WithFields(log.Fields{
		"adopted": a.adopted, "dropped": a.dropped, "worst": string(a.worst.Target), "slowness": math.Round(10*a.worst.Slowness) / 10,
		"failures": math.Round(100*a.worst.FailureRate) / 100, "age": a.worst.Age.Round(time.Millisecond).String(),
	}).Info("observations of other hosts")
	e.adoptions = adoptions{logged: now}
}
