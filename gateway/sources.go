package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/registry"
)

const (
	// readers is how many hosts read the store themselves. They are in different
	// availability zones, so that the loss of one zone leaves another reader.
	readers = 2
	// fanOut is how many hosts of its zone read from one host, so that its load
	// does not grow with the zone.
	fanOut = 8
)

// readOrder returns the sources of entries for this host, in order of
// preference. Only the readers read the store. The first host of each zone reads
// from a reader, and the other hosts of the zone form a tree below it, so that
// entries cross to a zone once. The other sources are fallbacks for when those
// have lost the store: the first host of the zone, the readers, the store
// itself, and the first hosts of other zones.
func readOrder(members []membership.Member, self string) []registry.Candidate {
	p := orderHosts(members, self)
	var order []registry.Candidate
	add := func(c registry.Candidate) {
		listed := slices.ContainsFunc(order, func(o registry.Candidate) bool { return o.Name == c.Name })
		if c.Name != self && !listed {
			order = append(order, c)
		}
	}
	store := registry.Candidate{Name: registry.StoreName}
	if p.isReader(self) {
		add(store)
	}
	if index := slices.Index(p.ownZone, self); index > 0 {
		parent := (index - 1) / fanOut
		add(registry.Candidate{Name: p.ownZone[parent], MaxHops: p.hops(p.ownZone[0]) + depth(parent)})
		add(registry.Candidate{Name: p.ownZone[0], MaxHops: p.hops(p.ownZone[0])})
	}
	for _, head := range p.heads[:min(readers, len(p.heads))] {
		add(registry.Candidate{Name: head, MaxHops: p.hops(head)})
	}
	add(store)
	for _, head := range p.heads {
		add(registry.Candidate{Name: head, MaxHops: p.hops(head)})
	}
	return order
}

// depth returns how many hosts of the zone are above the one at index in the
// tree.
func depth(index int) int {
	n := 0
	for ; index > 0; index = (index - 1) / fanOut {
		n++
	}
	return n
}

// hostOrder is an order of the hosts that is the same on each of them.
type hostOrder struct {
	heads   []string // first host of each zone, the readers first
	ownZone []string // hosts of this host's zone
}

// orderHosts orders the running hosts by hash.
func orderHosts(members []membership.Member, self string) hostOrder {
	var own magnoliashore.ZoneName
	ranked := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if m.Peer() == self {
			own = m.Zone()
		}
		if m.State() == membership.Alive || m.Peer() == self {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Peer()), xxhash.Sum64String(b.Peer()))
	})
	var p hostOrder
	zones := make(map[magnoliashore.ZoneName]bool)
	for _, m := range ranked {
		if !zones[m.Zone()] {
			zones[m.Zone()] = true
			p.heads = append(p.heads, m.Peer())
		}
		if m.Zone() == own {
			p.ownZone = append(p.ownZone, m.Peer())
		}
	}
	return p
}

// isReader reports whether a host is a reader.
func (p hostOrder) isReader(peer string) bool {
	index := slices.Index(p.heads, peer)
	return index >= 0 && index < readers
}

// hops returns how many hosts the entries from a head pass through: the head and,
// unless it is a reader itself, a reader.
func (p hostOrder) hops(head string) int {
	if p.isReader(head) {
		return 1
	}
	return 2
}
