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
	// readers is how many hosts read the store themselves; they lie in
	// different availability zones, so that the loss of one leaves another.
	readers = 2
	// followers is how many hosts of its zone a host tells of changes; what it
	// sends does not grow with the zone.
	followers = 8
)

// readOrder returns where this host reads entries from, the best first. Few
// hosts, the readers, read the store. The first host of each zone follows a
// reader, and the others of the zone form a tree below it, so that entries
// cross between zones once. The rest of the order serves when those are out of
// touch with the store: the first host of the zone, the readers, the store
// itself, and the first hosts of other zones.
func readOrder(members []membership.Member, self string) []registry.Candidate {
	p := places(members, self)
	var order []registry.Candidate
	add := func(c registry.Candidate) {
		known := slices.ContainsFunc(order, func(o registry.Candidate) bool { return o.Name == c.Name })
		if c.Name != self && !known {
			order = append(order, c)
		}
	}
	store := registry.Candidate{Name: registry.FromStore}
	if p.reads(self) {
		add(store)
	}
	if at := slices.Index(p.home, self); at > 0 {
		parent := (at - 1) / followers
		add(registry.Candidate{Name: p.home[parent], MaxHops: p.hops(p.home[0]) + depth(parent)})
		add(registry.Candidate{Name: p.home[0], MaxHops: p.hops(p.home[0])})
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

// depth returns how many hosts of its zone lie above the one at a place.
func depth(place int) int {
	n := 0
	for ; place > 0; place = (place - 1) / followers {
		n++
	}
	return n
}

// placing is the order of the hosts, the same on each.
type placing struct {
	heads []string // the first host of each zone; the readers in front
	home  []string // the hosts of the own zone
}

// places puts the running hosts in order by hash.
func places(members []membership.Member, self string) placing {
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
	var p placing
	zones := make(map[magnoliashore.ZoneName]bool)
	for _, m := range ranked {
		if !zones[m.Zone()] {
			zones[m.Zone()] = true
			p.heads = append(p.heads, m.Peer())
		}
		if m.Zone() == own {
			p.home = append(p.home, m.Peer())
		}
	}
	return p
}

// reads reports whether a host is a reader.
func (p placing) reads(peer string) bool {
	at := slices.Index(p.heads, peer)
	return at >= 0 && at < readers
}

// hops returns through how many hosts the answers of a head come: itself, and
// a reader if it is none.
func (p placing) hops(head string) int {
	if p.reads(head) {
		return 1
	}
	return 2
}
