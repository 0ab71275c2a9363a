package entry

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/lease"
	"github.com/magnoliashore/magnoliashore/owner"
)

// updatePlacement recomputes the placement if the live members or the layout
// changed, and requests leases on the targets that this host now owns.
func (c *control) updatePlacement() {
	view := c.host.view()
	layout := view.Layout()
	if len(layout.Seats()) == 0 {
		return
	}
	now := c.host.Timer.Now()
	c.host.config.setRank(c.seatRank(c.host.Settings.Host))
	c.mu.Lock()
	live := c.liveMembers(now, view)
	changed := !slices.Equal(live, c.placedMembers) || layout.Version() != c.placedLayout
	c.placedMembers = live
	c.placedLayout = layout.Version()
	c.mu.Unlock()
	if changed {
		placement := owner.Place(layout, live)
		c.previousPlacement.Store(c.currentPlacement.Swap(&placement))
		c.leased.Set(placement)
		c.static.Set(live)
		c.requestLeases(now, placement)
		c.host.workers.refresh()
	}
	c.reportLeaseChanges(now)
}

// liveMembers returns the hosts that can own targets, in seat order: they answer
// heartbeats, are not leaving, and their availability zone is not switched off.
// If there is no such host, it returns every host that answers heartbeats. The
// caller holds c.mu.
func (c *control) liveMembers(now time.Time, view magnoliashore.View) []owner.Member {
	var usable, reachable []owner.Member
	for _, seat := range view.Layout().Seats() {
		if !c.isReachable(now, seat.Host()) {
			continue
		}
		m := owner.Member{Host: seat.Host(), Zone: seat.Zone()}
		reachable = append(reachable, m)
		if !c.isLeaving(seat.Host(), view) && !view.Table().ZoneOut(seat.Zone()) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return reachable
	}
	return usable
}

// isReachable reports whether the host has answered a heartbeat recently. This
// host counts as reachable. The caller holds c.mu.
func (c *control) isReachable(now time.Time, host magnoliashore.HostID) bool {
	if host == c.host.Settings.Host {
		return true
	}
	m, ok := c.members[host]
	if !ok || m.lastReplyAt.IsZero() {
		return false
	}
	return now.Sub(m.lastReplyAt) < maxMissedHeartbeats*c.host.Settings.Lease.Heartbeat
}

// isLeaving reports whether the host is shutting down or listed as leaving. The
// caller holds c.mu.
func (c *control) isLeaving(host magnoliashore.HostID, view magnoliashore.View) bool {
	if view.Hosts().Leaving(string(host)) {
		return true
	}
	if host == c.host.Settings.Host {
		return c.host.Leaving()
	}
	return c.members[host].info.Leaving
}

// requestLeases requests leases on the targets that this host owns, and marks the
// leases on targets it no longer owns for release.
func (c *control) requestLeases(now time.Time, placement owner.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned := make(map[magnoliashore.TargetID]bool)
	ownedTargets := placement.Owned(c.host.Settings.Host)
	keys := make([]lease.Key, 0, len(ownedTargets))
	for _, id := range ownedTargets {
		owned[id] = c.owned[id]
		keys = append(keys, lease.KeyOf(id))
	}
	for id := range c.owned {
		if _, kept := owned[id]; !kept {
			c.pendingRelease[id] = true
		}
	}
	for id := range owned {
		delete(c.pendingRelease, id)
	}
	c.owned = owned
	c.node.SetWanted(now, keys)
}

// hostsFor appends the hosts that routes of the given kind to the target go
// through.
func (c *control) hostsFor(
	list []magnoliashore.HostID, id magnoliashore.TargetID, kind routeKind,
) []magnoliashore.HostID {
	switch kind {
	case viaOwner:
		if host, ok := c.ownership.Owner(id); ok {
			return append(list, host)
		}
	case viaFormerOwner:
		former := c.previousPlacement.Load()
		if former == nil || c.ownership != c.leased {
			return list
		}
		if host, ok := former.Owner(id); ok {
			return append(list, host)
		}
	default:
		return append(list, c.ownership.Standbys(id)...)
	}
	return list
}

// releasePending releases the leases on targets that moved to another owner, once
// this host has no cold work in flight on them.
func (c *control) releasePending(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]lease.Key, 0, len(c.pendingRelease))
	for id := range c.pendingRelease {
		if c.host.workers.coldBusy(id) == 0 {
			keys = append(keys, lease.KeyOf(id))
			delete(c.pendingRelease, id)
		}
	}
	c.node.Release(now, keys)
}

// reportLeaseChanges emits an event for each lease that was acquired or lost.
func (c *control) reportLeaseChanges(now time.Time) {
	var specs []magnoliashore.EventSpec
	c.mu.Lock()
	for id, wasHeld := range c.owned {
		_, isHeld := c.node.Until(now, lease.KeyOf(id))
		if isHeld == wasHeld {
			continue
		}
		c.owned[id] = isHeld
		code := event.LeaseLost
		if isHeld {
			code = event.LeaseHeld
		}
		specs = append(specs, magnoliashore.EventSpec{Code: code, Target: id})
	}
	c.mu.Unlock()
	for _, spec := range specs {
		c.host.emit(spec)
	}
}

// holdsAllLeases reports whether there is a placement and this host holds the
// lease on every target it owns.
func (c *control) holdsAllLeases() bool {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.owned {
		if _, holds := c.node.Until(now, lease.KeyOf(id)); !holds {
			return false
		}
	}
	return len(c.placedMembers) > 0
}
