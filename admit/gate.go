package admit

import (
	"cmp"
	"slices"
	"time"
)

// Sizes of a Gate.
const (
	gatePerSlot   = 4                      // queries that the hosts together keep at a slot before any of them waits
	gateLeast     = 4                      // lowest limit of a host
	gateStart     = 2                      // first limit, as a multiple of the lowest one
	gateFall      = 0.8                    // of the limit, after an overload
	gateCalm      = 100 * time.Millisecond // between two falls: about one query
	gateBusy      = 0.7                    // share of the limit in use that lets it grow
	gateRateSpan  = 500 * time.Millisecond // over which the rate of answers is measured
	gateSoonest   = 50 * time.Millisecond  // to come back after a refusal
	gateLowRank   = 8                      // every so many queries, the least urgent one that waits is first
	gateMost      = 4096                   // highest limit
	gateLeastRate = 1.0                    // answers a second that returns are spaced by at least
)

// Gate bounds the queries of one group of services that run at the same time
// on this host. Queries beyond the limit wait for a moment, the most urgent
// first, and are refused whole when that has passed, instead of failing at
// some of their shards. The limit falls when targets have too much work and
// grows while queries press on it; the lowest limit is this host's share of
// the slots, so that slow targets alone refuse no usual load. It is not safe
// for concurrent use.
type Gate struct {
	limit   float64
	least   float64
	running int
	waiting []waiting
	turns   int
	fell    time.Time
	span    time.Time // start of the present span of the rate
	answers int       // in the present span
	rate    float64   // answers a second in the last span
	returns time.Time // when the next refused query may come back
}

// waiting is a query that waits.
type waiting struct {
	id   uint64
	rank int
}

// Resize sets the slots of the scarcest service of the group, and how many
// hosts share them.
func (g *Gate) Resize(slots, hosts int) {
	g.least = max(gateLeast, float64(gatePerSlot*slots)/float64(max(hosts, 1)))
	if g.limit == 0 {
		g.limit = gateStart * g.least
	}
	g.limit = max(g.limit, g.least)
}

// Limit returns how many queries may run at the same time.
func (g *Gate) Limit() int { return int(g.limit) }

// Running returns how many queries run.
func (g *Gate) Running() int { return g.running }

// Offer asks for a query to run. It returns false if the query has to wait,
// until Next returns it or Leave takes it out.
func (g *Gate) Offer(id uint64, rank int) bool {
	if len(g.waiting) == 0 && g.running < g.Limit() {
		g.running++
		return true
	}
	at, _ := slices.BinarySearchFunc(g.waiting, rank+1, func(w waiting, rank int) int { return cmp.Compare(w.rank, rank) })
	g.waiting = slices.Insert(g.waiting, at, waiting{id: id, rank: rank})
	return false
}

// Next returns the waiting query that may run now; false if there is none.
func (g *Gate) Next() (uint64, bool) {
	if len(g.waiting) == 0 || g.running >= g.Limit() {
		return 0, false
	}
	g.turns++
	at := 0
	if g.turns%gateLowRank == 0 {
		at = len(g.waiting) - 1
	}
	id := g.waiting[at].id
	g.waiting = slices.Delete(g.waiting, at, at+1)
	g.running++
	return id, true
}

// Remove takes a waiting query out. It returns false if the query does not
// wait any more.
func (g *Gate) Remove(id uint64) bool {
	at := slices.IndexFunc(g.waiting, func(w waiting) bool { return w.id == id })
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}

// Done notes that a running query has ended; over reports whether its targets
// had too much work for it.
func (g *Gate) Done(now time.Time, over bool) {
	busy := float64(g.running+len(g.waiting)) >= gateBusy*g.limit
	g.running--
	g.count(now)
	switch {
	case over && now.Sub(g.fell) >= gateCalm:
		g.fell = now
		g.limit = max(g.least, gateFall*min(g.limit, float64(g.running+1)))
	case !over && busy:
		g.limit = min(g.limit+1/g.limit, gateMost)
	}
}

// count measures the rate of answers.
func (g *Gate) count(now time.Time) {
	if span := now.Sub(g.span); span >= gateRateSpan {
		g.rate = float64(g.answers) / span.Seconds()
		g.span, g.answers = now, 0
	}
	g.answers++
}

// RetryAfter returns when a refused query is to come back: refused queries are
// spread over time at the rate at which queries are answered, but none later
// than most.
func (g *Gate) RetryAfter(now time.Time, most time.Duration) time.Duration {
	if g.returns.Before(now) {
		g.returns = now
	}
	g.returns = g.returns.Add(time.Duration(float64(time.Second) / max(g.rate, gateLeastRate)))
	if most < gateSoonest {
		return gateSoonest
	}
	after := g.returns.Sub(now)
	if after > most {
		// The line is longer than callers wait; it starts anew.
		g.returns = now
		return most
	}
	return max(after, gateSoonest)
}
