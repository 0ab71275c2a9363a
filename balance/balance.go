// Package balance chooses the replica of a service that gets a request, and
// the service of a route that is split over several. It reads no clock and does
// no I/O: callers pass in the current time and the outcome of each request.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

const (
	// Weight of the newest observation in a moving average.
	smoothing = 0.2
	// Half-lives of the measured slowness and failure rate of a target that gets
	// no requests.
	slownessHalfLife    = 2 * time.Second
	failureRateHalfLife = 4 * time.Second
	// Weight of the newest request in the failure rate.
	failureSmoothing = 0.25
	// Cost of a failed request, relative to an answer of typical speed. It includes
	// the retry, which draws on a small budget.
	failureCost = 12.0
	// Expected time of a request that was cancelled, relative to the time until
	// then. Latencies have a long tail: a request without an answer so far is
	// expected to take longer still.
	cancelledFactor = 3
	// Upper bound on the slowness that a single request contributes.
	maxSlowness = 20.0
	// Backoff after the first failure; doubles with each consecutive one.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// A target counts as stalled if a request has been in flight for longer
	// than this multiple of the expected time.
	stallFactor = 4.0
	// Costs are multiplied by a random factor of 1 ± this, so that requests are
	// spread over targets with similar costs.
	costJitter = 0.25
	// Factor on the cost of a target that seems to be stalled.
	stallCost = 3.0
)

// CrossZonePenalty is the factor on the cost of targets in other zones: a
// target of this host's zone is preferred until it costs this many times more.
const CrossZonePenalty = 4.0

// targetStats holds the statistics of one target.
type targetStats struct {
	slowness     float64              // moving average of its times relative to the typical ones; zero if not measured
	failureRate  float64              // moving average of the share of failed requests
	updated      time.Time            // time of the latest observation
	inFlight     map[uint64]time.Time // start times by request ID
	tails        int                  // answers that have begun and not ended
	failures     int                  // consecutive
	backoffUntil time.Time            // the target is avoided until then
	failedAt     time.Time            // time of the latest failure
}

// Balancer chooses targets by the latency and the failures that this host has
// measured. It is not safe for concurrent use.
type Balancer struct {
	Zone   magnoliashore.ZoneName // zone of this host
	Random *rand.Rand             // source of the jitter on costs; nil for no jitter

	targets map[magnoliashore.TargetID]*targetStats
	typical map[string]float64 // moving average of the time by kind of request, in seconds
	lastID  uint64
}

// InFlight identifies a request in flight.
type InFlight struct {
	target magnoliashore.TargetID
	kind   string
	id     uint64
}

// Start records that a request of the given kind is sent to t.
func (b *Balancer) Start(now time.Time, t *catalog.Target, kind string) InFlight {
	s := b.stats(t.ID())
	b.lastID++
	s.inFlight[b.lastID] = now
	return InFlight{target: t.ID(), kind: kind, id: b.lastID}
}

// Complete records that a request was answered; took is its latency.
func (b *Balancer) Complete(now time.Time, request InFlight, took time.Duration) {
	delete(b.stats(request.target).inFlight, request.id)
	b.succeed(now, request, took)
}

// Begin records that the answer to a request has begun. It counts as open until Close; what
// it says about its target is recorded by End, which may not be called.
func (b *Balancer) Begin(request InFlight) {
	s := b.stats(request.target)
	delete(s.inFlight, request.id)
	s.tails++
}

// Close records that an answer that has begun occupies its target no more.
func (b *Balancer) Close(request InFlight) {
	if s, ok := b.targets[request.target]; ok && s.tails > 0 {
		s.tails--
	}
}

// End records whether an answer that has begun was complete; took is the time until it began
// if it was, or else until it broke off.
func (b *Balancer) End(now time.Time, request InFlight, took time.Duration, complete bool) {
	if complete {
		b.succeed(now, request, took)
		return
	}
	if typical := b.TypicalSeconds(request.kind); typical > 0 {
		b.stats(request.target).observeLatency(now, took, typical)
	}
	b.fail(now, request.target)
}

func (b *Balancer) succeed(now time.Time, request InFlight, took time.Duration) {
	s := b.stats(request.target)
	s.observeFailure(now, 0)
	s.failures = 0
	s.backoffUntil = time.Time{}
	typical := b.TypicalSeconds(request.kind)
	if typical <= 0 {
		b.setTypical(request.kind, took.Seconds())
		return
	}
	s.observeLatency(now, took, typical)
	// The small weight and the cap keep slow targets from raising the typical
	// time as much as they would raise a mean.
	b.setTypical(request.kind, typical+smoothing/10*(min(took.Seconds(), 3*typical)-typical))
}

// Fail records that a request ended without a usable answer, and backs off
// from its target.
func (b *Balancer) Fail(now time.Time, request InFlight) {
	delete(b.stats(request.target).inFlight, request.id)
	b.fail(now, request.target)
}

func (b *Balancer) fail(now time.Time, id magnoliashore.TargetID) {
	s := b.stats(id)
	s.observeFailure(now, 1)
	backoff := min(initialBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.failedAt = now
	s.backoffUntil = now.Add(backoff)
}

// Failing reports whether a target has failed at its latest request within window, or
// has left one unanswered for longer than patience.
func (b *Balancer) Failing(now time.Time, id magnoliashore.TargetID, window, patience time.Duration) bool {
	s, ok := b.targets[id]
	if !ok {
		return false
	}
	if s.failures > 0 && now.Sub(s.failedAt) < window {
		return true
	}
	for _, since := range s.inFlight {
		if now.Sub(since) > patience {
			return true
		}
	}
	return false
}

// Forget removes the measurements of a target, which the path to it has spoiled.
func (b *Balancer) Forget(id magnoliashore.TargetID) {
	if s, ok := b.targets[id]; ok {
		*s = targetStats{inFlight: s.inFlight, tails: s.tails}
	}
}

// Abandon records that a request ended for a reason unrelated to its target,
// took after its start. If that is longer than expected, the request counts with
// the latency that it would probably have had.
func (b *Balancer) Abandon(now time.Time, request InFlight, took time.Duration) {
	s := b.stats(request.target)
	delete(s.inFlight, request.id)
	typical := b.TypicalSeconds(request.kind)
	expected := cancelledFactor * took
	if typical <= 0 || took.Seconds() < typical || expected.Seconds() < typical*s.slownessAt(now) {
		return
	}
	s.observeLatency(now, expected, typical)
}

// observeLatency adds the time of one request to the slowness of a target.
func (s *targetStats) observeLatency(now time.Time, took time.Duration, typical float64) {
	s.decay(now)
	s.slowness += smoothing * (min(took.Seconds()/typical, maxSlowness) - s.slowness)
}

// observeFailure adds the outcome of one request to the failure rate of a target:
// 1 for a failure, 0 for an answer.
func (s *targetStats) observeFailure(now time.Time, failed float64) {
	s.decay(now)
	s.failureRate += failureSmoothing * (failed - s.failureRate)
}

// decay brings the moving averages up to now.
func (s *targetStats) decay(now time.Time) {
	s.slowness, s.failureRate = s.slownessAt(now), s.failureRateAt(now)
	s.updated = now
}

// TypicalSeconds returns the typical time of a kind of request, in seconds; zero
// if none was answered yet.
func (b *Balancer) TypicalSeconds(kind string) float64 { return b.typical[kind] }

// Choose returns the target with the lowest expected cost for a request of the
// given kind, or nil if there is none outside exclude. A target that failed
// recently is chosen only if the others have too.
func (b *Balancer) Choose(now time.Time, targets []*catalog.Target, kind string, exclude []magnoliashore.TargetID) *catalog.Target {
	var best *catalog.Target
	lowest := math.Inf(1)
	for _, t := range targets {
		if slices.Contains(exclude, t.ID()) {
			continue
		}
		cost := b.Cost(now, t, kind) * b.jitter()
		if t.Zone() != b.Zone {
			cost *= CrossZonePenalty
		}
		if cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// jitter returns a random factor close to 1. Without it, hosts without
// measurements, as after a restart of all, would all choose the same target.
func (b *Balancer) jitter() float64 {
	if b.Random == nil {
		return 1
	}
	return 1 + costJitter*(2*b.Random.Float64()-1)
}

// Cost returns the expected cost of sending a request of the given kind to t,
// relative to an idle target of typical speed. It ignores the network path.
func (b *Balancer) Cost(now time.Time, t *catalog.Target, kind string) float64 {
	s := b.stats(t.ID())
	cost := s.slownessAt(now) * float64(len(s.inFlight)+s.tails+1)
	cost *= 1 + failureCost*s.failureRateAt(now)
	if b.stalled(now, s, kind) {
		cost *= stallCost
	}
	// Targets in backoff are the last choice, the shortest remaining time first.
	if now.Before(s.backoffUntil) {
		cost += 1e6 * s.backoffUntil.Sub(now).Seconds()
	}
	return cost
}

// stalled reports whether a request has been in flight for so much longer than
// expected that the target has probably stalled.
func (b *Balancer) stalled(now time.Time, s *targetStats, kind string) bool {
	typical := b.TypicalSeconds(kind) * s.slownessAt(now)
	if typical <= 0 {
		return false
	}
	for _, since := range s.inFlight {
		if now.Sub(since).Seconds() > stallFactor*typical {
			return true
		}
	}
	return false
}

// slownessAt returns the slowness of a target at now. It decays towards 1, the
// typical speed, while the target is not used.
func (s *targetStats) slownessAt(now time.Time) float64 {
	if s.slowness == 0 {
		return 1
	}
	return 1 + (s.slowness-1)*halvings(now.Sub(s.updated), slownessHalfLife)
}

// failureRateAt returns the failure rate of a target at now. It decays towards
// zero while the target is not used.
func (s *targetStats) failureRateAt(now time.Time) float64 {
	return s.failureRate * halvings(now.Sub(s.updated), failureRateHalfLife)
}

// halvings returns the factor of an exponential decay over a time.
func halvings(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

func (b *Balancer) stats(id magnoliashore.TargetID) *targetStats {
	if b.targets == nil {
		b.targets = make(map[magnoliashore.TargetID]*targetStats)
	}
	s, ok := b.targets[id]
	if !ok {
		s = &targetStats{inFlight: make(map[uint64]time.Time)}
		b.targets[id] = s
	}
	return s
}

// Retain removes the statistics of targets that are not known any more and have
// no requests in flight.
func (b *Balancer) Retain(known func(id magnoliashore.TargetID) bool) {
	for id, s := range b.targets {
		if !known(id) && len(s.inFlight) == 0 {
			delete(b.targets, id)
		}
	}
}

func (b *Balancer) setTypical(kind string, seconds float64) {
	if b.typical == nil {
		b.typical = make(map[string]float64)
	}
	b.typical[kind] = seconds
}
