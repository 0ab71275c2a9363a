package scatter

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// Helper is a host that takes batches.
type Helper struct {
	Peer     string
	Capacity int // shards that it can ask without falling behind
}

// Spread gives each batch to a host of its zone, and splits what is more than
// one host should take: also the shards that the root, which has room for so
// many, would ask directly. helpers lists the hosts of each zone in the order
// in which they are to be used. What no helper takes stays direct.
func Spread(routing Routing, zone magnoliashore.ZoneName, room int, helpers map[magnoliashore.ZoneName][]Helper) Routing {
	out := Routing{Direct: routing.Direct}
	if len(routing.Direct) > room+leastBatch && len(helpers[zone]) > 0 {
		out.Direct = routing.Direct[:room]
		out.Batches = deal(zone, routing.Direct[room:], helpers[zone])
	}
	for _, b := range routing.Batches {
		if len(helpers[b.Zone]) == 0 {
			out.Direct = append(slices.Clone(out.Direct), b.Shards...)
			continue
		}
		out.Batches = append(out.Batches, deal(b.Zone, b.Shards, helpers[b.Zone])...)
	}
	return out
}

// deal splits shards over hosts by their room. If all of them together have
// too little, each takes its share of what is left.
func deal(zone magnoliashore.ZoneName, shards []int, helpers []Helper) []Batch {
	total := 0
	for _, h := range helpers {
		total += max(h.Capacity, 1)
	}
	var batches []Batch
	for i, h := range helpers {
		if len(shards) == 0 {
			break
		}
		room := max(h.Capacity, 1)
		take := min(len(shards), max(room, (len(shards)*room+total-1)/total))
		if i == len(helpers)-1 || len(shards)-take < leastBatch {
			take = len(shards)
		}
		batches = append(batches, Batch{Zone: zone, Peer: h.Peer, Shards: shards[:take]})
		shards = shards[take:]
		total -= room
	}
	return batches
}
