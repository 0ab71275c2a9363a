package entry

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/peer"
)

// route is a replica with the entry host to ask for it.
type route struct {
	target magnoliashore.TargetID
	host   magnoliashore.HostID
	link   *peer.Link // nil if this host sends to the target itself
	load   magnoliashore.Load
}

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

// routeTo chooses among the targets not yet tried. A target whose owner
// cannot be reached is asked through a standby, after all others.
func (h *Host) routeTo(
	view magnoliashore.View, targets []magnoliashore.Target, tried []magnoliashore.TargetID,
) (route, bool) {
	var owned, stood []route
	for _, t := range targets {
		if slices.Contains(tried, t.ID()) {
			continue
		}
		if _, ok := view.Usable(t.ID()); !ok {
			continue
		}
		if r, ok := h.ownerRoute(t.ID()); ok {
			owned = append(owned, r)
		} else if r, ok := h.standbyRoute(t.ID()); ok {
			stood = append(stood, r)
		}
	}
	if len(owned) > 0 {
		return h.choose(view, owned), true
	}
	if len(stood) > 0 {
		return h.choose(view, stood), true
	}
	return route{}, false
}

func (h *Host) ownerRoute(id magnoliashore.TargetID) (route, bool) {
	host, ok := h.control.ownership.Owner(id)
	if !ok {
		return route{}, false
	}
	return h.hostRoute(id, host)
}

func (h *Host) standbyRoute(id magnoliashore.TargetID) (route, bool) {
	for _, host := range h.control.ownership.Standbys(id) {
		if r, ok := h.hostRoute(id, host); ok {
			return r, true
		}
	}
	return route{}, false
}

func (h *Host) hostRoute(id magnoliashore.TargetID, host magnoliashore.HostID) (route, bool) {
	if host == h.Settings.Host {
		return route{target: id, host: host}, true
	}
	link, ok := h.control.link(host)
	return route{target: id, host: host, link: link}, ok
}

func (h *Host) choose(view magnoliashore.View, routes []route) route {
	candidates := make([]magnoliashore.Candidate, len(routes))
	for i, r := range routes {
		t, _ := view.Layout().Target(r.target)
		candidates[i] = magnoliashore.Candidate{Target: r.target, Owner: r.host, Zone: t.Zone()}
		h.loads.fill(&candidates[i])
		routes[i].load = candidates[i].Load
	}
	return routes[h.chooser.Choose(candidates)]
}
