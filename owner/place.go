package owner

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

const (
	loadNumerator   = 5 // a member owns at most 5/4 of the mean number of targets, rounded up
	loadDenominator = 4
	standbyCount    = 2
)

// Placement holds the owner of each target among the live hosts, and its
// standbys: the hosts to use when the owner cannot be reached. The zero
// Placement has no owners. A Placement is immutable.
type Placement struct {
	owners     map[magnoliashore.TargetID]magnoliashore.HostID
	standbys   map[magnoliashore.TargetID][]magnoliashore.HostID
	owned      map[magnoliashore.HostID][]magnoliashore.TargetID // targets by owner
	standbyFor map[magnoliashore.HostID][]magnoliashore.TargetID // targets by standby
}

// Place assigns every target of the layout to one of the live members. Members
// in the target's availability zone come first, then the order of the
// rendezvous hash decides. Two targets that serve the same partition get
// different owners if there are enough members. No member owns more than 5/4
// of the mean number of targets, rounded up, unless separate owners for one
// partition require it. The result depends only on the layout and the set of
// members, not on the order of live.
func Place(layout magnoliashore.Layout, live []Member) Placement {
	p := Placement{
		owners:     make(map[magnoliashore.TargetID]magnoliashore.HostID, len(layout.Targets())),
		standbys:   make(map[magnoliashore.TargetID][]magnoliashore.HostID, len(layout.Targets())),
		owned:      make(map[magnoliashore.HostID][]magnoliashore.TargetID, len(live)),
		standbyFor: make(map[magnoliashore.HostID][]magnoliashore.TargetID, len(live)),
	}
	members := unique(live)
	if len(members) == 0 {
		return p
	}
	for id, member := range assign(layout, members) {
		p.set(id, member, members)
	}
	for _, list := range p.owned {
		slices.Sort(list)
	}
	for _, list := range p.standbyFor {
		slices.Sort(list)
	}
	return p
}

func (p Placement) set(id magnoliashore.TargetID, owner Member, members []Member) {
	p.owners[id] = owner.Host
	p.owned[owner.Host] = append(p.owned[owner.Host], id)
	hosts := standbysOf(id, owner, members)
	p.standbys[id] = hosts
	for _, host := range hosts {
		p.standbyFor[host] = append(p.standbyFor[host], id)
	}
}

// standbysOf returns the next hosts in the order of the rendezvous hash, those
// outside the owner's availability zone first.
func standbysOf(id magnoliashore.TargetID, owner Member, members []Member) []magnoliashore.HostID {
	var otherZone, sameZone []magnoliashore.HostID
	for _, m := range ranked(id, members) {
		switch {
		case m.Host == owner.Host:
		case m.Zone != owner.Zone:
			otherZone = append(otherZone, m.Host)
		default:
			sameZone = append(sameZone, m.Host)
		}
	}
	hosts := append(otherZone, sameZone...)
	return hosts[:min(len(hosts), standbyCount)]
}

// Owner returns the host that owns a target, and false if there are no live
// hosts or the target is not in the layout.
func (p Placement) Owner(id magnoliashore.TargetID) (magnoliashore.HostID, bool) {
	host, ok := p.owners[id]
	return host, ok
}

// Standbys returns up to 2 hosts to use when the owner cannot be reached, in
// the order in which to try them. The caller must not modify the slice.
func (p Placement) Standbys(id magnoliashore.TargetID) []magnoliashore.HostID {
	return p.standbys[id]
}

// Owned returns the targets that a host owns, sorted. The caller must not
// modify the slice.
func (p Placement) Owned(host magnoliashore.HostID) []magnoliashore.TargetID {
	return p.owned[host]
}

// StandbyFor returns the targets that a host is a standby for, sorted. The
// caller must not modify the slice.
func (p Placement) StandbyFor(host magnoliashore.HostID) []magnoliashore.TargetID {
	return p.standbyFor[host]
}
