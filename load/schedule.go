package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// initialRateShare is the share of the rate at the start of the warm-up. The
// rate rises linearly to its full value at the end of the warm-up.
const initialRateShare = 0.1

// arrival is one query of the schedule.
type arrival struct {
	at    time.Duration // since the start of the warm-up
	group int           // index in the experiment's groups
	zone  int           // index of the caller's availability zone
	seed  uint64        // for random choices of the load process
}

// schedule returns the arrivals of all groups in order of time. Each group is a
// Poisson process with a generator seeded by the experiment, so the same
// experiment and factor give the same schedule.
func schedule(e Experiment, factor float64) []arrival {
	streams := make([][]arrival, len(e.groups))
	for i, g := range e.groups {
		random := rand.New(rand.NewPCG(e.seed, uint64(i)))
		streams[i] = groupArrivals(e, i, g.rate*factor, random)
	}
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

func groupArrivals(e Experiment, index int, rate float64, random *rand.Rand) []arrival {
	var list []arrival
	zones := len(e.shape.Zones())
	end := e.warmup + e.length
	gap := float64(time.Second) / rate
	at := time.Duration(random.ExpFloat64() * gap)
	for at < end {
		accepted := random.Float64() < rateShare(at, e.warmup)
		a := arrival{at: at, group: index, zone: random.IntN(zones), seed: random.Uint64()}
		if accepted {
			list = append(list, a)
		}
		at += time.Duration(random.ExpFloat64() * gap)
	}
	return list
}

// rateShare returns the share of the full rate at a time of the schedule.
func rateShare(at, warmup time.Duration) float64 {
	if at >= warmup {
		return 1
	}
	return initialRateShare + (1-initialRateShare)*float64(at)/float64(warmup)
}

// groupClasses returns the class of each group of a shape, which is the most
// urgent class among its services.
func groupClasses(shape standin.Shape) map[magnoliashore.GroupName]magnoliashore.Class {
	classes := make(map[magnoliashore.GroupName]magnoliashore.Class)
	for _, row := range shapeServices(shape) {
		class, ok := classes[row.Group()]
		if !ok || row.Class() < class {
			classes[row.Group()] = row.Class()
		}
	}
	return classes
}
