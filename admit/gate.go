package admit

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of a Gate.
const (
	gateQueriesPerSlot    = 4                      // queries per slot at the lowest limits, over all hosts
	gateMinLimit          = 4                      // lower bound of the lowest limit
	gateInitialFactor     = 2                      // initial limit, as a multiple of the lowest one
	gateDecreaseFactor    = 0.8                    // factor applied to the limit after an overload
	gateDecreaseInterval  = 100 * time.Millisecond // least time between two decreases, about the duration of one query
	gateGrowthUtilization = 0.7                    // share of the limit that must be in use for it to grow
	gateRateWindow        = 500 * time.Millisecond // window over which the rate of answers is measured
	gateMinRetryAfter     = 50 * time.Millisecond  // shortest retry-after of a refusal
	gateLeastUrgentTurn   = 8                      // one in this many waiting queries is taken from the least urgent end
	gateMaxLimit          = 4096                   // upper bound of the limit
	gateMinRetryRate      = 1.0                    // least rate, in answers per second, at which retries are spaced
)

// Gate is an adaptive concurrency limit for the queries of one group of
// services on this host. Queries above the limit wait briefly, the most urgent
// first. A query that is not admitted in that time is refused as a whole,
// instead of failing at some of its shards. The limit decreases when targets
// are overloaded and increases while most of it is in use. Its lower bound is
// this host's share of the slots, so that slow targets alone do not cause
// refusals at usual load. It is not safe for concurrent use.
type Gate struct {
	limit        float64
	minLimit     float64 // lowest limit
	running      int
	waiting      []waitingQuery // most urgent first
	admissions   int            // queries admitted after waiting
	lastDecrease time.Time      // time of the last decrease
	windowStart  time.Time      // start of the current rate window
	answers      int            // answers in the current rate window
	rate         float64        // answers per second in the last rate window
	lastRetry    time.Time      // time at which the last refused query may retry
}

// waitingQuery is a query that waits for admission.
type waitingQuery struct {
	id       uint64
	priority int
}

// Resize sets the slots of the group's service with the fewest slots, and the
// number of hosts that share them.
func (g *Gate) Resize(slots, hosts int) {
	g.minLimit = max(gateMinLimit, float64(gateQueriesPerSlot*slots)/float64(max(hosts, 1)))
	if g.limit == 0 {
		g.limit = gateInitialFactor * g.minLimit
	}
	g.limit = max(g.limit, g.minLimit)
}

// Limit returns how many queries may run concurrently.
func (g *Gate) Limit() int { return int(g.limit) }

// Running returns the number of running queries.
func (g *Gate) Running() int { return g.running }

// Offer admits a query, or adds it to the waiting ones and returns false. It
// then waits until Next returns it or Remove removes it. A lower priority
// is more urgent.
func (g *Gate) Offer(id uint64, priority int) bool {
	if len(g.waiting) == 0 && g.running < g.Limit() {
		g.running++
		return true
	}
	i, _ := slices.BinarySearchFunc(g.waiting, priority+1, func(w waitingQuery, priority int) int { return cmp.Compare(w.priority, priority) })
	g.waiting = slices.Insert(g.waiting, i, waitingQuery{id: id, priority: priority})
	return false
}

// Next admits and returns the next waiting query; false means that none may run
// now.
func (g *Gate) Next() (uint64, bool) {
	if len(g.waiting) == 0 || g.running >= g.Limit() {
		return 0, false
	}
	g.admissions++
	i := 0
	if g.admissions%gateLeastUrgentTurn == 0 {
		i = len(g.waiting) - 1
	}
	id := g.waiting[i].id
	g.waiting = slices.Delete(g.waiting, i, i+1)
	g.running++
	return id, true
}

// Remove removes a waiting query. It returns false if the query is not waiting
// any more.
func (g *Gate) Remove(id uint64) bool {
	i := slices.IndexFunc(g.waiting, func(w waitingQuery) bool { return w.id == id })
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return true
}

// Done records the end of a running query; overloaded reports whether its
// targets were overloaded.
func (g *Gate) Done(now time.Time, overloaded bool) {
	busy := float64(g.running+len(g.waiting)) >= gateGrowthUtilization*g.limit
	g.running--
	g.count(now)
	switch {
	case overloaded && now.Sub(g.lastDecrease) >= gateDecreaseInterval:
		g.lastDecrease = now
		g.limit = max(g.minLimit, gateDecreaseFactor*min(g.limit, float64(g.running+1)))
	case !overloaded && busy:
		g.limit = min(g.limit+1/g.limit, gateMaxLimit)
	}
}

// count records an answer and updates the rate of answers.
func (g *Gate) count(now time.Time) {
	if elapsed := now.Sub(g.windowStart); elapsed >= gateRateWindow {
		g.rate = float64(g.answers) / elapsed.Seconds()
		g.windowStart, g.answers = now, 0
	}
	g.answers++
}

// RetryAfter returns the time after which to retry a refused query. Retries
// are spaced at the rate at which queries are answered, and none is later than
// maxAfter.
func (g *Gate) RetryAfter(now time.Time, maxAfter time.Duration) time.Duration {
	if g.lastRetry.Before(now) {
		g.lastRetry = now
	}
	g.lastRetry = g.lastRetry.Add(time.Duration(float64(time.Second) / max(g.rate, gateMinRetryRate)))
	if maxAfter < gateMinRetryAfter {
		return gateMinRetryAfter
	}
	retryAfter := g.lastRetry.Sub(now)
	if retryAfter > maxAfter {
		// The planned retries exceed the time that callers wait: start again.
		g.lastRetry = now
		return maxAfter
	}
	return max(retryAfter, gateMinRetryAfter)
}
