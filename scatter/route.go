package scatter

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
)

// minBatch is the least number of shards that make a batch worth its extra hop.
const minBatch = 2

// Replica is a usable target of a shard.
type Replica struct {
	Zone magnoliashore.ZoneName
	Cost float64 // expected cost of a request, relative to an idle target
}

// Batch is a set of shards that is delegated to one host of a zone.
type Batch struct {
	Zone   magnoliashore.ZoneName
	Peer   string // address of the host; set by Spread
	Shards []int
}

// Routing divides the shards of a query by how they are queried.
type Routing struct {
	Direct  []int   // shards queried by this host
	Batches []Batch // shards queried through other hosts
}

// maxCostRatio limits the cost of replicas that are preferred for their zone,
// relative to the cheapest replica of the shard.
const maxCostRatio = balance.CrossZonePenalty

// Plan routes the shards of a query whose coordinator is in zone. replicas holds
// the usable replicas of each shard; hosts contains the other zones with a host
// that takes batches. A replica is eligible if its cost is within maxCostRatio
// of the cheapest. A shard with an eligible replica in the coordinator's zone is
// queried directly. The others are grouped greedily into few batches for zones
// where they have an eligible replica. Shards that do not fit into a batch of
// minBatch or more are queried directly too.
func Plan(zone magnoliashore.ZoneName, replicas [][]Replica, hosts map[magnoliashore.ZoneName]bool, random *rand.Rand) Routing {
	var routing Routing
	remaining := make(map[int][]magnoliashore.ZoneName)
	for i, list := range replicas {
		zones := preferredZones(list)
		if slices.Contains(zones, zone) || !anyHasHost(zones, hosts) {
			routing.Direct = append(routing.Direct, i)
			continue
		}
		remaining[i] = zones
	}
	for len(remaining) > 0 {
		batch := largestBatch(remaining, hosts, random)
		for _, i := range batch.Shards {
			delete(remaining, i)
		}
		if len(batch.Shards) < minBatch {
			routing.Direct = append(routing.Direct, batch.Shards...)
			continue
		}
		routing.Batches = append(routing.Batches, batch)
	}
	slices.Sort(routing.Direct)
	return routing
}

// Without returns the routing without the shards that are done.
func (r Routing) Without(done func(shard int) bool) Routing {
	rest := Routing{Direct: slices.DeleteFunc(slices.Clone(r.Direct), done)}
	for _, b := range r.Batches {
		b.Shards = slices.DeleteFunc(slices.Clone(b.Shards), done)
		if len(b.Shards) > 0 {
			rest.Batches = append(rest.Batches, b)
		}
	}
	return rest
}

// preferredZones returns the zones of the replicas whose cost is within
// maxCostRatio of the cheapest.
func preferredZones(list []Replica) []magnoliashore.ZoneName {
	if len(list) == 0 {
		return nil
	}
	lowest := slices.MinFunc(list, func(a, b Replica) int { return cmp.Compare(a.Cost, b.Cost) }).Cost
	var zones []magnoliashore.ZoneName
	for _, r := range list {
		if r.Cost <= maxCostRatio*lowest && !slices.Contains(zones, r.Zone) {
			zones = append(zones, r.Zone)
		}
	}
	return zones
}

func anyHasHost(zones []magnoliashore.ZoneName, hosts map[magnoliashore.ZoneName]bool) bool {
	return slices.ContainsFunc(zones, func(z magnoliashore.ZoneName) bool { return hosts[z] })
}

// largestBatch returns the batch for the zone that can serve the most of the
// remaining shards. Ties are broken at random.
func largestBatch(remaining map[int][]magnoliashore.ZoneName, hosts map[magnoliashore.ZoneName]bool, random *rand.Rand) Batch {
	shards := make(map[magnoliashore.ZoneName][]int)
	for i, zones := range remaining {
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
