package entry

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/peer"
)

// route is a target with the entry host through which it is reached.
type route struct {
	target magnoliashore.TargetID
	zone   magnoliashore.ZoneName
	host   magnoliashore.HostID
	link   *peer.Link // nil if this host sends to the target itself
	load   magnoliashore.Load
}

// routeArraySize is the number of routes to a partition, and of hosts for a
// target, that are compared without an allocation.
const routeArraySize = 4

// batches groups the sub-requests of a query by the host that owns their
// targets.
type batches struct {
	local  []*attempt
	remote map[magnoliashore.HostID]*batch
}

// batch holds the sub-requests for one host.
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

// routeKind classifies routes by preference.
type routeKind int

// The kinds of routes to a target, the preferred first: through its owner,
// through its owner in the previous placement, which still has open connections,
// and through its standbys.
const (
	viaOwner routeKind = iota
	viaFormerOwner
	viaStandby
	routeKindCount
)

// exclusion lists the routes that must not be used again.
type exclusion struct {
	routes  []route                  // routes already tried
	targets []magnoliashore.TargetID // targets not to be used over any route
}

func (e exclusion) contains(r route) bool {
	if slices.Contains(e.targets, r.target) {
		return true
	}
	return slices.ContainsFunc(e.routes, func(tried route) bool {
		return tried.target == r.target && tried.host == r.host
	})
}

// routeTo chooses the best route to one of the targets that is not excluded.
// lastKind is the least preferred kind to consider. The targets must be usable in
// the query's view.
func (h *Host) routeTo(targets []magnoliashore.Target, excluded exclusion, lastKind routeKind) (route, bool) {
	var buffer [routeArraySize]route
	for kind := viaOwner; kind <= lastKind; kind++ {
		routes := buffer[:0]
		for _, t := range targets {
			if r, ok := h.openRoute(t, kind, excluded); ok {
				routes = append(routes, r)
			}
		}
		if len(routes) > 0 {
			return h.choose(routes), true
		}
	}
	return route{}, false
}

// openRoute returns a route of the given kind to the target, over a link that is
// connected, that is not excluded.
func (h *Host) openRoute(t magnoliashore.Target, kind routeKind, excluded exclusion) (route, bool) {
	var buffer [routeArraySize]magnoliashore.HostID
	for _, host := range h.control.hostsFor(buffer[:0], t.ID(), kind) {
		if r, ok := h.hostRoute(t, host); ok && !excluded.contains(r) {
			return r, true
		}
	}
	return route{}, false
}

// hostRoute returns the route to the target through host, and false if host is not
// connected.
func (h *Host) hostRoute(t magnoliashore.Target, host magnoliashore.HostID) (route, bool) {
	r := route{target: t.ID(), zone: t.Zone(), host: host}
	if host == h.Settings.Host {
		return r, true
	}
	link, ok := h.control.link(host)
	r.link = link
	return r, ok
}

// choose returns the route that the chooser picks by the load of its target.
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
