package scatter

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
)

// leastBatch is how many shards make a batch worth its extra hop.
const leastBatch = 2

// Replica is a target of a shard that may be asked.
type Replica struct {
	Zone magnoliashore.ZoneName
	Cost float64 // expected, relative to an idle one; the lower the better
}

// Batch is a set of shards that one host of a zone asks.
type Batch struct {
	Zone   magnoliashore.ZoneName
	Peer   string // the host's address; set by Spread
	Shards []int
}

// Routing says how each shard of a query is asked.
type Routing struct {
	Direct  []int   // by this host
	Batches []Batch // by a host of another zone
}

// slack is how much more a replica may cost than the cheapest one of its
// shard to be asked all the same because of its zone.
const slack = balance.CrossZonePenalty

// Plan routes the shards of a query whose root is in a zone. replicas holds
// the usable ones of each shard; hosts says which other zones have a host that
// takes batches. A shard with a sound replica in the root's zone is asked
// directly. The others go, in as few batches as possible, to zones where they
// have a sound replica.
func Plan(zone magnoliashore.ZoneName, replicas [][]Replica, hosts map[magnoliashore.ZoneName]bool, random *rand.Rand) Routing {
	var routing Routing
	left := make(map[int][]magnoliashore.ZoneName)
	for i, list := range replicas {
		zones := soundZones(list)
		if slices.Contains(zones, zone) || !usable(zones, hosts) {
			routing.Direct = append(routing.Direct, i)
			continue
		}
		left[i] = zones
	}
	for len(left) > 0 {
		batch := largest(left, hosts, random)
		for _, i := range batch.Shards {
			delete(left, i)
		}
		if len(batch.Shards) < leastBatch {
			routing.Direct = append(routing.Direct, batch.Shards...)
			continue
		}
		routing.Batches = append(routing.Batches, batch)
	}
	slices.Sort(routing.Direct)
	return routing
}

// soundZones returns the zones of the replicas that cost not much more than
// the cheapest one.
func soundZones(list []Replica) []magnoliashore.ZoneName {
	if len(list) == 0 {
		return nil
	}
	least := slices.MinFunc(list, func(a, b Replica) int { return cmp.Compare(a.Cost, b.Cost) }).Cost
	var zones []magnoliashore.ZoneName
	for _, r := range list {
		if r.Cost <= slack*least && !slices.Contains(zones, r.Zone) {
			zones = append(zones, r.Zone)
		}
	}
	return zones
}

func usable(zones []magnoliashore.ZoneName, hosts map[magnoliashore.ZoneName]bool) bool {
	return slices.ContainsFunc(zones, func(z magnoliashore.ZoneName) bool { return hosts[z] })
}

// largest returns the batch of the zone that serves the most of the shards
// that are left.
func largest(left map[int][]magnoliashore.ZoneName, hosts map[magnoliashore.ZoneName]bool, random *rand.Rand) Batch {
	shards := make(map[magnoliashore.ZoneName][]int)
	for i, zones := range left {
		for _, z := range zones {
			if hosts[z] {
				shards[z] = append(shards[z], i)
			}
		}
	}
	names := make([]magnoliashore.ZoneName, 0, len(shards))
	for z := range shards {
		names = append(names, z)
	}
	slices.Sort(names)
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	best := slices.MaxFunc(names, func(a, b magnoliashore.ZoneName) int {
		return cmp.Compare(len(shards[a]), len(shards[b]))
	})
	slices.Sort(shards[best])
	return Batch{Zone: best, Shards: shards[best]}
}
