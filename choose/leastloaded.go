package choose

import (
	"math/rand/v2"

	"github.com/magnoliashore/magnoliashore"
)

// avoidFactor multiplies the score of a replica that is cold or currently has a
// concurrency limit of zero.
const avoidFactor = 1000

// LeastLoaded chooses the replica with the shortest expected time, which is the
// number of requests per slot, including the new one, times the recent latency.
// A cold replica is chosen only if all are cold or the others are slower by far.
// A replica without a load report is scored with the mean of the warm replicas
// that have one. Ties are broken at random. LeastLoaded implements
// magnoliashore.Chooser and is safe for concurrent use.
type LeastLoaded struct{ source source }

var _ magnoliashore.Chooser = (*LeastLoaded)(nil)

// NewLeastLoaded returns a LeastLoaded that draws from rng. Nothing else may use
// rng afterwards.
func NewLeastLoaded(rng *rand.Rand) *LeastLoaded {
	return &LeastLoaded{source: source{rng: rng}}
}

// Choose returns the index of the candidate with the lowest score.
func (l *LeastLoaded) Choose(candidates []magnoliashore.Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	typical := warmMean(candidates)
	best, lowest, ties := 0, 0.0, 0
	for i, c := range candidates {
		score := typical.score(c)
		switch {
		case ties == 0 || score < lowest:
			best, lowest, ties = i, score, 1
		case score == lowest:
			ties++
			if l.source.intN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// meanLoad is the mean load of the warm candidates with a load report.
type meanLoad struct {
	work    float64 // requests waiting and running
	limit   float64 // requests that may run concurrently
	latency float64 // nanoseconds
}

// warmMean returns the mean load of the warm candidates. A value that no report
// states is 1 for limit and latency and 0 for work, so that scores stay
// comparable.
func warmMean(candidates []magnoliashore.Candidate) meanLoad {
	var sum meanLoad
	var reports, withLatency float64
	for _, c := range candidates {
		if !usable(c) {
			continue
		}
		reports++
		sum.work += work(c.Load)
		sum.limit += float64(c.Load.Limit())
		if c.Load.Latency() > 0 {
			withLatency++
			sum.latency += float64(c.Load.Latency())
		}
	}
	return meanLoad{
		work:    mean(sum.work, reports, 0),
		limit:   mean(sum.limit, reports, 1),
		latency: mean(sum.latency, withLatency, 1),
	}
}

// score returns the expected time of one candidate, in a unit that is only good
// for comparison.
func (m meanLoad) score(c magnoliashore.Candidate) float64 {
	own := float64(c.Sent + 1)
	if !c.Known {
		return (m.work + own) / m.limit * m.latency
	}
	latency := m.latency
	if c.Load.Latency() > 0 {
		latency = float64(c.Load.Latency())
	}
	limit := float64(max(c.Load.Limit(), 1))
	score := (work(c.Load) + own) / limit * latency
	if usable(c) {
		return score
	}
	return score * avoidFactor
}

// usable reports whether the candidate is known to be warm and to accept
// requests.
func usable(c magnoliashore.Candidate) bool {
	return c.Known && !c.Load.Cold() && c.Load.Limit() > 0
}

// work returns the number of requests that wait or run at a target.
func work(load magnoliashore.Load) float64 {
	return float64(load.Queue() + load.Busy())
}

// mean returns sum/count, or fallback if count is zero.
func mean(sum, count, fallback float64) float64 {
	if count == 0 {
		return fallback
	}
	return sum / count
}
