package scatter

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// Helper is a host that batches can be delegated to.
type Helper struct {
	Peer     string
	Capacity int // number of shards that it can query without overload
}

// Spread assigns each batch to a host of its zone, or splits it over several if
// it exceeds the capacity of one. The direct shards beyond capacity, that of the
// coordinator in zone, are split over helpers of zone in the same way. helpers
// lists the hosts of each zone in order of preference. The batches of a zone
// without helpers become direct shards.
func Spread(routing Routing, zone magnoliashore.ZoneName, capacity int, helpers map[magnoliashore.ZoneName][]Helper) Routing {
	assigned := Routing{Direct: routing.Direct}
	if len(routing.Direct) > capacity+minBatch && len(helpers[zone]) > 0 {
		assigned.Direct = slices.Clip(routing.Direct[:capacity]) // what follows belongs to a batch
		assigned.Batches = assign(zone, routing.Direct[capacity:], helpers[zone])
	}
	for _, b := range routing.Batches {
		if len(helpers[b.Zone]) == 0 {
			assigned.Direct = append(slices.Clone(assigned.Direct), b.Shards...)
			continue
		}
		assigned.Batches = append(assigned.Batches, assign(b.Zone, b.Shards, helpers[b.Zone])...)
	}
	return assigned
}

// assign splits shards over helpers up to their capacity, in order. If their total
// capacity is too small, each gets a share in proportion to its capacity.
func assign(zone magnoliashore.ZoneName, shards []int, helpers []Helper) []Batch {
	total := 0
	for _, h := range helpers {
		total += max(h.Capacity, 1)
	}
	var batches []Batch
	for i, h := range helpers {
		if len(shards) == 0 {
			break
		}
		capacity := max(h.Capacity, 1)
		count := min(len(shards), max(capacity, (len(shards)*capacity+total-1)/total))
		if i == len(helpers)-1 || len(shards)-count < minBatch {
			count = len(shards)
		}
		batches = append(batches, Batch{Zone: zone, Peer: h.Peer, Shards: shards[:count]})
		shards = shards[count:]
		total -= capacity
	}
	return batches
}
