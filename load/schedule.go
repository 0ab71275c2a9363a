package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// firstShare is the share of the rate at which the warm-up begins; it rises
// evenly to the whole rate at the end of the warm-up.
const firstShare = 0.1

// arrival is one query of the schedule.
type arrival struct {
	at    time.Duration // since the start of the warm-up
	group int           // index in the experiment's groups
	zone  int           // index of the caller's availability zone
	pick  uint64        // random number for choices that the load process makes
}

// schedule returns the arrivals of every group in order of time: a Poisson
// process each, from the experiment's seed. The same experiment and factor
// give the same schedule.
func schedule(e Experiment, factor float64) []arrival {
	streams := make([][]arrival, len(e.groups))
	for i, g := range e.groups {
		random := rand.New(rand.NewPCG(e.seed, uint64(i)))
		streams[i] = stream(e, i, g.rate*factor, random)
	}
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

func stream(e Experiment, index int, rate float64, random *rand.Rand) []arrival {
	var list []arrival
	zones := len(e.shape.Zones())
	end := e.warmup + e.length
	gap := float64(time.Second) / rate
	at := time.Duration(random.ExpFloat64() * gap)
	for at < end {
		keep := random.Float64() < share(at, e.warmup)
		a := arrival{at: at, group: index, zone: random.IntN(zones), pick: random.Uint64()}
		if keep {
			list = append(list, a)
		}
		at += time.Duration(random.ExpFloat64() * gap)
	}
	return list
}

// share returns the share of the rate at a time of the schedule.
func share(at, warmup time.Duration) float64 {
	if at >= warmup {
		return 1
	}
	return firstShare + (1-firstShare)*float64(at)/float64(warmup)
}

// classes returns the class of each group of a shape: the most urgent one
// among its services.
func classes(shape standin.Shape) map[magnoliashore.GroupName]magnoliashore.Class {
	known := make(map[magnoliashore.GroupName]magnoliashore.Class)
	for _, row := range rows(shape) {
		class, ok := known[row.Group()]
		if !ok || row.Class() < class {
			known[row.Group()] = row.Class()
		}
	}
	return known
}
