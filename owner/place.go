package owner

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

const (
	capNumerator   = 5 // a member owns at most 5/4 of the mean, rounded up
	capDenominator = 4
	standbyCount   = 2
)

// Placement says which live host owns each target and which hosts stand by.
// The zero Placement has no owners. It does not change once made.
type Placement struct {
	owners   map[magnoliashore.TargetID]magnoliashore.HostID
	standbys map[magnoliashore.TargetID][]magnoliashore.HostID
	owned    map[magnoliashore.HostID][]magnoliashore.TargetID
	stood    map[magnoliashore.HostID][]magnoliashore.TargetID
}

// Place assigns every target of the layout to one of the live members. A
// member in the target's availability zone comes first, then the order of the
// rendezvous hash. Two targets that serve one partition get different owners
// where enough members live, and no member owns more than a quarter above the
// mean, rounded up, unless the former asks for it. The result depends only on
// the two arguments, not on the order of live.
func Place(layout magnoliashore.Layout, live []Member) Placement {
	p := Placement{
		owners:   make(map[magnoliashore.TargetID]magnoliashore.HostID, len(layout.Targets())),
		standbys: make(map[magnoliashore.TargetID][]magnoliashore.HostID, len(layout.Targets())),
		owned:    make(map[magnoliashore.HostID][]magnoliashore.TargetID, len(live)),
		stood:    make(map[magnoliashore.HostID][]magnoliashore.TargetID, len(live)),
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
	for _, list := range p.stood {
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
		p.stood[host] = append(p.stood[host], id)
	}
}

// standbysOf returns the next hosts by rank, those outside the owner's
// availability zone first.
func standbysOf(id magnoliashore.TargetID, owner Member, members []Member) []magnoliashore.HostID {
	var far, near []magnoliashore.HostID
	for _, m := range ranked(id, members) {
		switch {
		case m.Host == owner.Host:
		case m.Zone != owner.Zone:
			far = append(far, m.Host)
		default:
			near = append(near, m.Host)
		}
	}
	hosts := append(far, near...)
	return hosts[:min(len(hosts), standbyCount)]
}

// Owner returns the host that owns a target; false means that no host lives
// or the target is not in the layout.
func (p Placement) Owner(id magnoliashore.TargetID) (magnoliashore.HostID, bool) {
	host, ok := p.owners[id]
	return host, ok
}

// Standbys returns up to 2 hosts to use when the owner cannot be reached, the
// first one to try first. The caller must not change the slice.
func (p Placement) Standbys(id magnoliashore.TargetID) []magnoliashore.HostID {
	return p.standbys[id]
}

// Owned returns the targets that a host owns, sorted. The caller must not
// change the slice.
func (p Placement) Owned(host magnoliashore.HostID) []magnoliashore.TargetID {
	return p.owned[host]
}

// Stood returns the targets that a host is a standby for, sorted. The caller
// must not change the slice.
func (p Placement) Stood(host magnoliashore.HostID) []magnoliashore.TargetID {
	return p.stood[host]
}
