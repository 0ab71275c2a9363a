package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
)

const (
	// Time constant of the moving average of the demand.
	demandPeriod = time.Second
	// Demand below which a host needs no lease, in requests per second.
	minDemand = 0.05
	// Unused share that a host may spend at once.
	maxBurst = 1500 * time.Millisecond
)

// Holder holds the leases of one host. It is not safe for concurrent use.
type Holder struct {
	Random *rand.Rand // for shares of less than one request in maxBurst; nil for the global generator

	targets map[magnoliashore.TargetID]*holding
}

// holding is the state of one limited target.
type holding struct {
	rate      float64 // requests per second that the target takes from all hosts
	share     float64 // of the lease
	until     time.Time
	demand    float64 // requests per second, at measured
	measured  time.Time
	lastAsked time.Time // when the latest report was made
	bucket    admit.Bucket
}

// SetRate begins to limit requests to a target, or changes its rate.
func (h *Holder) SetRate(now time.Time, id magnoliashore.TargetID, rate float64) {
	if h.targets == nil {
		h.targets = make(map[magnoliashore.TargetID]*holding)
	}
	t, ok := h.targets[id]
	if !ok {
		h.targets[id] = &holding{rate: rate, measured: now, bucket: admit.NewBucket(now, 0)}
		return
	}
	if rate < t.rate {
		t.share *= rate / t.rate
	}
	t.rate = rate
}

// ClearRate ends the limit on a target.
func (h *Holder) ClearRate(id magnoliashore.TargetID) { delete(h.targets, id) }

// Want records that this host would send a request to a target. It reports whether
// a report is due at once, since the host has no lease.
func (h *Holder) Want(now time.Time, id magnoliashore.TargetID) bool {
	t, ok := h.targets[id]
	if !ok {
		return false
	}
	t.demand = t.demandAt(now) + 1/demandPeriod.Seconds()
	t.measured = now
	return !now.Before(t.until) && now.Sub(t.lastAsked) >= minReportInterval
}

// Allows reports whether this host may send a request to a target.
func (h *Holder) Allows(now time.Time, id magnoliashore.TargetID, sharing Sharing) bool {
	t, ok := h.targets[id]
	return !ok || h.tokens(now, t, sharing) >= 1
}

// Take spends the request that Allows has admitted.
func (h *Holder) Take(id magnoliashore.TargetID) {
	if t, ok := h.targets[id]; ok {
		t.bucket.Take()
	}
}

// Delay returns the time in which as many requests fit the share of a target's limit
// as were wanted in the last demandPeriod, or zero if one fits now.
func (h *Holder) Delay(now time.Time, id magnoliashore.TargetID, sharing Sharing) time.Duration {
	t, ok := h.targets[id]
	if !ok {
		return 0
	}
	missing := 1 - h.tokens(now, t, sharing)
	if missing <= 0 {
		return 0
	}
	share := t.shareAt(now, sharing)
	if share <= 0 {
		return math.MaxInt64
	}
	waiting := missing + max(t.demandAt(now)-share, 0)*demandPeriod.Seconds()
	return time.Duration(min(waiting/share, math.MaxInt32) * float64(time.Second))
}

// Reports returns the reports that are due, the highest demand first.
func (h *Holder) Reports(now time.Time, sharing Sharing) []Report {
	var due []Report
	for id, t := range h.targets {
		demand := t.demandAt(now)
		if demand < minDemand || (now.Before(t.until) && now.Sub(t.lastAsked) < sharing.Interval()) {
			continue
		}
		r := Report{Target: id, Rate: t.rate, Demand: demand}
		if now.Before(t.until) {
			r.Share, r.Left = t.share, t.until.Sub(now)
		}
		due = append(due, r)
	}
	slices.SortFunc(due, func(a, b Report) int { return cmp.Compare(b.Demand, a.Demand) })
	due = due[:min(len(due), maxReports)]
	for _, r := range due {
		h.targets[r.Target].lastAsked = now
	}
	return due
}

// Accept takes over a lease.
func (h *Holder) Accept(now time.Time, g Grant, sharing Sharing) {
	t, ok := h.targets[g.Target]
	if !ok {
		return
	}
	t.refill(now, sharing) // what has passed counts with the former share
	t.share, t.until = min(g.Share, t.rate), now.Add(g.Term)
}

// Empty reports whether requests to no target are limited.
func (h *Holder) Empty() bool { return len(h.targets) == 0 }

// Limited reports whether the requests to a target are limited.
func (h *Holder) Limited(id magnoliashore.TargetID) bool {
	_, ok := h.targets[id]
	return ok
}

// Share returns the requests per second that this host may send to a target, or
// false if the target is not limited.
func (h *Holder) Share(now time.Time, id magnoliashore.TargetID, sharing Sharing) (float64, bool) {
	t, ok := h.targets[id]
	if !ok {
		return 0, false
	}
	return t.shareAt(now, sharing), true
}

// Retain removes the targets for which known returns false.
func (h *Holder) Retain(known func(id magnoliashore.TargetID) bool) {
	for id := range h.targets {
		if !known(id) {
			delete(h.targets, id)
		}
	}
}

// demandAt returns the demand, which decays while no request comes.
func (t *holding) demandAt(now time.Time) float64 {
	return t.demand * math.Exp(-now.Sub(t.measured).Seconds()/demandPeriod.Seconds())
}

// shareAt returns the share that the host uses at now.
func (t *holding) shareAt(now time.Time, sharing Sharing) float64 {
	if now.Before(t.until) {
		return t.share
	}
	return sharing.unleased(t.rate)
}

// tokens returns the requests that this host may send now. The share of a host in a
// large fleet may be less than one request in maxBurst. It is then rounded at random:
// if each host saved up a whole request, all together could exceed the limit.
func (h *Holder) tokens(now time.Time, t *holding, sharing Sharing) float64 {
	tokens, capacity := t.refill(now, sharing)
	if capacity >= 1 || tokens >= 1 {
		return tokens
	}
	if h.Random == nil {
		return t.bucket.Round(rand.Float64())
	}
	return t.bucket.Round(h.Random.Float64())
}

// refill refills the bucket, and returns its tokens and its capacity.
func (t *holding) refill(now time.Time, sharing Sharing) (tokens, capacity float64) {
	share := t.shareAt(now, sharing)
	capacity = share * maxBurst.Seconds()
	return t.bucket.Refill(now, share, capacity), capacity
}
