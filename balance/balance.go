// Package balance decides which replica of a service gets a request, and
// which service of a split route. It is pure: times and observations come in.
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
	gain       = 0.2                    // weight of the newest observation in a mean
	forget     = 2 * time.Second        // half-life of an unused target's slowness
	slowest    = 20.0                   // times the usual time that one request counts at most
	firstBan   = 150 * time.Millisecond // after a failure, doubled with each further one
	longestBan = 3 * time.Second
	pauseAfter = 4.0  // times the usual time that the oldest request is out
	spread     = 0.25 // by which costs that count as about the same differ
	pauseCost  = 3.0  // how much slower a target counts that seems paused
)

// CrossCost is how much slower the own zone's replica may be before another
// zone's is used.
const CrossCost = 4.0

// state is what is known of one target.
type state struct {
	slow     float64 // its times relative to the usual ones, 1 if as usual
	seen     time.Time
	out      map[uint64]time.Time // requests under way, by number
	failures int                  // in a row
	banned   time.Time            // until when it is not preferred
}

// Balancer keeps what this host has seen of targets. It is not safe for
// concurrent use.
type Balancer struct {
	Zone   magnoliashore.ZoneName // of this host
	Random *rand.Rand             // spreads requests over targets that cost about the same; nil for none

	targets map[magnoliashore.TargetID]*state
	usual   map[string]float64 // mean time of a kind of request, in seconds
	number  uint64
}

// InFlight is a request under way.
type InFlight struct {
	target magnoliashore.TargetID
	kind   string
	number uint64
}

// Start notes that a request of a kind goes to a target.
func (b *Balancer) Start(now time.Time, t *catalog.Target, kind string) InFlight {
	s := b.state(t.ID())
	b.number++
	s.out[b.number] = now
	return InFlight{target: t.ID(), kind: kind, number: b.number}
}

// Done notes that a request ended with an answer after took.
func (b *Balancer) Done(now time.Time, ticket InFlight, took time.Duration) {
	s := b.state(ticket.target)
	delete(s.out, ticket.number)
	s.failures = 0
	s.banned = time.Time{}
	usual := b.Usual(ticket.kind)
	if usual <= 0 {
		b.setUsual(ticket.kind, took.Seconds())
		return
	}
	b.learn(now, s, took, usual)
	// Slow targets pull the usual time up less than they would as a mean.
	b.setUsual(ticket.kind, usual+gain/10*(min(took.Seconds(), 3*usual)-usual))
}

// Failed notes that a request ended without a useful answer.
func (b *Balancer) Failed(now time.Time, ticket InFlight) {
	s := b.state(ticket.target)
	delete(s.out, ticket.number)
	ban := min(firstBan<<min(s.failures, 10), longestBan)
	s.failures++
	s.banned = now.Add(ban)
}

// Dropped notes that a request ended for a reason that says nothing of the
// target, after it was out for took. A target that took longer than usual is
// at least that slow.
func (b *Balancer) Dropped(now time.Time, ticket InFlight, took time.Duration) {
	s := b.state(ticket.target)
	delete(s.out, ticket.number)
	usual := b.Usual(ticket.kind)
	if usual <= 0 || took.Seconds() < usual*b.slowness(now, s) {
		return
	}
	b.learn(now, s, took, usual)
}

// learn moves the slowness of a target towards that of one request.
func (b *Balancer) learn(now time.Time, s *state, took time.Duration, usual float64) {
	s.slow = b.slowness(now, s)*(1-gain) + min(took.Seconds()/usual, slowest)*gain
	s.seen = now
}

// Usual returns the usual time of a kind of request, in seconds; zero if none
// has been seen.
func (b *Balancer) Usual(kind string) float64 { return b.usual[kind] }

// Choose returns the target with the lowest expected cost for a request of a
// kind, leaving out those in not; nil if there is none. A target that failed a
// moment ago is chosen only if all have.
func (b *Balancer) Choose(now time.Time, targets []*catalog.Target, kind string, not []magnoliashore.TargetID) *catalog.Target {
	var best *catalog.Target
	lowest := math.Inf(1)
	for _, t := range targets {
		if slices.Contains(not, t.ID()) {
			continue
		}
		cost := b.Cost(now, t, kind) * b.noise()
		if t.Zone() != b.Zone {
			cost *= CrossCost
		}
		if cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// noise returns a random factor. Without it, hosts that know nothing yet, as
// after a restart of all, would send to the same target.
func (b *Balancer) noise() float64 {
	if b.Random == nil {
		return 1
	}
	return 1 + spread*(2*b.Random.Float64()-1)
}

// Cost returns the expected cost of a request of a kind at a target, relative
// to an idle target of the usual speed. It leaves the way to the target out.
func (b *Balancer) Cost(now time.Time, t *catalog.Target, kind string) float64 {
	s := b.state(t.ID())
	cost := b.slowness(now, s) * float64(len(s.out)+1)
	if b.paused(now, s, kind) {
		cost *= pauseCost
	}
	if now.Before(s.banned) {
		cost += 1e6 * s.banned.Sub(now).Seconds()
	}
	return cost
}

// paused reports whether the oldest request is out for much longer than
// usual, so that the target probably stands still.
func (b *Balancer) paused(now time.Time, s *state, kind string) bool {
	usual := b.Usual(kind) * b.slowness(now, s)
	if usual <= 0 {
		return false
	}
	for _, since := range s.out {
		if now.Sub(since).Seconds() > pauseAfter*usual {
			return true
		}
	}
	return false
}

// slowness returns the slowness of a target, which fades when it is not used.
func (b *Balancer) slowness(now time.Time, s *state) float64 {
	if s.slow == 0 {
		return 1
	}
	idle := now.Sub(s.seen)
	return 1 + (s.slow-1)*math.Exp2(-idle.Seconds()/forget.Seconds())
}

func (b *Balancer) state(id magnoliashore.TargetID) *state {
	if b.targets == nil {
		b.targets = make(map[magnoliashore.TargetID]*state)
	}
	s, ok := b.targets[id]
	if !ok {
		s = &state{out: make(map[uint64]time.Time)}
		b.targets[id] = s
	}
	return s
}

// Retain forgets targets that are not known any more and have nothing under
// way.
func (b *Balancer) Retain(known func(id magnoliashore.TargetID) bool) {
	for id, s := range b.targets {
		if !known(id) && len(s.out) == 0 {
			delete(b.targets, id)
		}
	}
}

func (b *Balancer) setUsual(kind string, seconds float64) {
	if b.usual == nil {
		b.usual = make(map[string]float64)
	}
	b.usual[kind] = seconds
}
