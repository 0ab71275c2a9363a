package choose

import (
	"math/rand/v2"

	"github.com/magnoliashore/magnoliashore"
)

// avoidFactor multiplies the score of a replica that is cold or that may run
// nothing now.
const avoidFactor = 1000

// Least chooses the replica with the shortest expected time: requests ahead
// per slot, multiplied by the recent latency. A cold replica is chosen only if
// all are cold or the others are very much slower. A replica without a load
// report counts as the mean of the warm ones that have one. Equal replicas are
// chosen at random. Least implements magnoliashore.Chooser and is safe for
// concurrent use.
type Least struct{ source source }

var _ magnoliashore.Chooser = (*Least)(nil)

// NewLeast returns a Least that draws from rng, which nothing else may use.
func NewLeast(rng *rand.Rand) *Least {
	return &Least{source: source{rng: rng}}
}

// Choose returns the index of the candidate with the lowest score.
func (l *Least) Choose(candidates []magnoliashore.Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	usual := middle(candidates)
	best, least, equal := 0, 0.0, 0
	for i, c := range candidates {
		score := usual.score(c)
		switch {
		case equal == 0 || score < least:
			best, least, equal = i, score, 1
		case score == least:
			equal++
			if l.source.below(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

// typical is the mean load of the warm candidates that have a report.
type typical struct {
	work    float64 // requests waiting and running
	limit   float64 // requests that may run at once
	latency float64 // nanoseconds
}

// middle returns the typical load of candidates. What no report states is 1 for
// limit and latency, and 0 for work, so that scores stay comparable.
func middle(candidates []magnoliashore.Candidate) typical {
	var sum typical
	var known, timed float64
	for _, c := range candidates {
		if !usable(c) {
			continue
		}
		known++
		sum.work += work(c.Load)
		sum.limit += float64(c.Load.Limit())
		if c.Load.Latency() > 0 {
			timed++
			sum.latency += float64(c.Load.Latency())
		}
	}
	return typical{
		work:    mean(sum.work, known, 0),
		limit:   mean(sum.limit, known, 1),
		latency: mean(sum.latency, timed, 1),
	}
}

// score returns the expected time of one candidate, as a number to compare.
func (t typical) score(c magnoliashore.Candidate) float64 {
	own := float64(c.Sent + 1)
	if !c.Known {
		return (t.work + own) / t.limit * t.latency
	}
	latency := t.latency
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

// usable reports whether the candidate is known to be warm and to run work.
func usable(c magnoliashore.Candidate) bool {
	return c.Known && !c.Load.Cold() && c.Load.Limit() > 0
}

// work returns the requests that wait or run at a target.
func work(load magnoliashore.Load) float64 {
	return float64(load.Queue() + load.Busy())
}

// mean returns sum/count, or without if count is zero.
func mean(sum, count, without float64) float64 {
	if count == 0 {
		return without
	}
	return sum / count
}
