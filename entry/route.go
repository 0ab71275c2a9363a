package entry

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/peer"
)

// route is a replica with the entry host to ask for it.
type route struct {
	target magnoliashore.TargetID
	zone   magnoliashore.ZoneName
	host   magnoliashore.HostID
	link   *peer.Link // nil if this host sends to the target itself
	load   magnoliashore.Load
}

// waysRoom is how many ways to a partition, and hosts for a target, are
// compared without an allocation.
const waysRoom = 4

// batches groups the sub-requests of a query by the host that owns their
// targets.
type batches struct {
	local  []*attempt
	remote map[magnoliashore.HostID]*batch
}

type batch struct {
	route route
	subs  []magnoliashore.Sub
}

func newBatches() *batches {
	return &batches{remote: make(map[magnoliashore.HostID]*batch)}
}

func (b *batches) add(a *attempt) {
	if a.route.link == nil {
		b.local = append(b.local, a)
		return
	}
	group, ok := b.remote[a.route.host]
	if !ok {
		group = &batch{route: a.route}
		b.remote[a.route.host] = group
	}
	group.subs = append(group.subs, a.sub)
}

// step is how good a way to a target is.
type step int

// The ways to a target, the best first: its owner, the owner of the placement
// before, whose connections still stand, and its standbys.
const (
	stepOwner step = iota
	stepFormer
	stepStandby
	stepsEnd
)

// exclusion says which ways are not to be used again.
type exclusion struct {
	routes  []route                  // ways already tried
	targets []magnoliashore.TargetID // targets not to be asked again by any way
}

func (e exclusion) covers(r route) bool {
	if slices.Contains(e.targets, r.target) {
		return true
	}
	return slices.ContainsFunc(e.routes, func(tried route) bool {
		return tried.target == r.target && tried.host == r.host
	})
}

// routeTo chooses the best way to one of the targets that is not excluded.
// The targets are usable in the view of the query.
func (h *Host) routeTo(targets []magnoliashore.Target, without exclusion, last step) (route, bool) {
	var room [waysRoom]route
	for s := stepOwner; s <= last; s++ {
		ways := room[:0]
		for _, t := range targets {
			if r, ok := h.way(t, s, without); ok {
				ways = append(ways, r)
			}
		}
		if len(ways) > 0 {
			return h.choose(ways), true
		}
	}
	return route{}, false
}

// way returns a way of the given kind to the target that is open and not
// excluded.
func (h *Host) way(t magnoliashore.Target, s step, without exclusion) (route, bool) {
	var room [waysRoom]magnoliashore.HostID
	for _, host := range h.control.hostsFor(room[:0], t.ID(), s) {
		if r, ok := h.hostRoute(t, host); ok && !without.covers(r) {
			return r, true
		}
	}
	return route{}, false
}

func (h *Host) hostRoute(t magnoliashore.Target, host magnoliashore.HostID) (route, bool) {
	r := route{target: t.ID(), zone: t.Zone(), host: host}
	if host == h.Settings.Host {
		return r, true
	}
	link, ok := h.control.link(host)
	r.link = link
	return r, ok
}

func (h *Host) choose(routes []route) route {
	if len(routes) == 1 {
		return routes[0]
	}
	candidates := make([]magnoliashore.Candidate, len(routes))
	for i, r := range routes {
		candidates[i] = magnoliashore.Candidate{Target: r.target, Owner: r.host, Zone: r.zone}
		h.loads.fill(&candidates[i])
		routes[i].load = candidates[i].Load
	}
	return routes[h.chooser.Choose(candidates)]
}
