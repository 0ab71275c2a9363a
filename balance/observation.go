package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

const (
	// Least slowness and failure rate that are worth reporting to other hosts.
	reportedSlowness    = 2.0
	reportedFailureRate = 0.2
	// Observations older than this are neither reported nor adopted.
	maxObservationAge = 3 * time.Second
	// Most observations in one report.
	maxReported = 16
)

// Observation is what a host knows about the speed and the failures of a target.
type Observation struct {
	Target      magnoliashore.TargetID
	Slowness    float64       // times relative to the typical ones; 1 is typical
	FailureRate float64       // share of failed requests, from 0 to 1
	Age         time.Duration // time since it was measured
}

// Valid reports whether an observation of another host is in range.
func (o Observation) Valid() bool {
	return o.Target != "" && o.Slowness >= 0 && o.Slowness <= maxSlowness &&
		o.FailureRate >= 0 && o.FailureRate <= 1 && o.Age >= 0 && o.Age <= maxObservationAge
}

// Report returns the latest observations of those targets that are slow or fail,
// the worst first.
func (b *Balancer) Report(now time.Time, targets []*catalog.Target) []Observation {
	var report []Observation
	for _, t := range targets {
		s, ok := b.targets[t.ID()]
		if !ok || now.Sub(s.updated) > maxObservationAge {
			continue
		}
		slowness, failureRate := s.slownessAt(now), s.failureRateAt(now)
		if slowness < reportedSlowness && failureRate < reportedFailureRate {
			continue
		}
		report = append(report, Observation{
			Target: t.ID(), Slowness: s.slowness, FailureRate: s.failureRate, Age: max(0, now.Sub(s.updated)),
		})
	}
	slices.SortFunc(report, func(x, y Observation) int { return cmp.Compare(y.Cost(), x.Cost()) })
	return report[:min(len(report), maxReported)]
}

// Adopt takes over an observation of another host, and reports whether it is newer
// than what this host knows about the target. Requests of this host keep updating
// it, and it decays like an own one, so that no report alone excludes a target for
// long.
func (b *Balancer) Adopt(now time.Time, o Observation) bool {
	s, at := b.stats(o.Target), now.Add(-o.Age)
	if !at.After(s.updated) {
		return false
	}
	s.slowness, s.failureRate, s.updated = o.Slowness, o.FailureRate, at
	return true
}

// Cost returns the expected cost of a request to the target while it is idle,
// relative to one of typical speed.
func (o Observation) Cost() float64 { return o.Slowness * (1 + failureCost*o.FailureRate) }
