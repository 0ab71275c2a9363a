package entry

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/lease"
	"github.com/magnoliashore/magnoliashore/owner"
)

// place recomputes who owns which target if the live members or the layout
// changed, and tells the lease node which targets to ask for.
func (c *control) place() {
	view := c.host.view()
	layout := view.Layout()
	if len(layout.Seats()) == 0 {
		return
	}
	now := c.host.Timer.Now()
	c.host.config.setRank(c.rank(c.host.Settings.Host))
	c.mu.Lock()
	live := c.live(now, view)
	changed := !slices.Equal(live, c.placed) || layout.Version() != c.layout
	c.placed = live
	c.layout = layout.Version()
	c.mu.Unlock()
	if changed {
		placement := owner.Place(layout, live)
		c.former.Store(c.present.Swap(&placement))
		c.leased.Set(placement)
		c.static.Set(live)
		c.own(now, placement)
		c.host.workers.refresh()
	}
	c.reportLeases(now)
}

// live returns the hosts that can own targets, in seat order: they answer
// heartbeats, are not leaving, and their availability zone is in. If that
// leaves nobody, every host that answers counts.
func (c *control) live(now time.Time, view magnoliashore.View) []owner.Member {
	var usable, answering []owner.Member
	for _, seat := range view.Layout().Seats() {
		if !c.answers(now, seat.Host()) {
			continue
		}
		m := owner.Member{Host: seat.Host(), Zone: seat.Zone()}
		answering = append(answering, m)
		if !c.departing(seat.Host(), view) && !view.Table().ZoneOut(seat.Zone()) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return answering
	}
	return usable
}

func (c *control) answers(now time.Time, host magnoliashore.HostID) bool {
	if host == c.host.Settings.Host {
		return true
	}
	m, ok := c.members[host]
	if !ok || m.beatAt.IsZero() {
		return false
	}
	return now.Sub(m.beatAt) < missedBeats*c.host.Settings.Lease.Heartbeat
}

func (c *control) departing(host magnoliashore.HostID, view magnoliashore.View) bool {
	if view.Hosts().Leaving(string(host)) {
		return true
	}
	if host == c.host.Settings.Host {
		return c.host.Leaving()
	}
	return c.members[host].info.Leaving
}

// own asks for leases on the targets that the placement gives to this host.
func (c *control) own(now time.Time, placement owner.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned := make(map[magnoliashore.TargetID]bool)
	mine := placement.Owned(c.host.Settings.Host)
	keys := make([]lease.Key, 0, len(mine))
	for _, id := range mine {
		owned[id] = c.owned[id]
		keys = append(keys, lease.KeyOf(id))
	}
	for id := range c.owned {
		if _, kept := owned[id]; !kept {
			c.moved[id] = true
		}
	}
	for id := range owned {
		delete(c.moved, id)
	}
	c.owned = owned
	c.node.SetWanted(now, keys)
}

// hostsFor appends the hosts that are the given kind of way to a target.
func (c *control) hostsFor(
	list []magnoliashore.HostID, id magnoliashore.TargetID, s step,
) []magnoliashore.HostID {
	switch s {
	case stepOwner:
		if host, ok := c.ownership.Owner(id); ok {
			return append(list, host)
		}
	case stepFormer:
		former := c.former.Load()
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

// letGo gives back the leases on targets that moved to another owner, as soon
// as no cold work of this host is in flight on them.
func (c *control) letGo(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]lease.Key, 0, len(c.moved))
	for id := range c.moved {
		if c.host.workers.coldBusy(id) == 0 {
			keys = append(keys, lease.KeyOf(id))
			delete(c.moved, id)
		}
	}
	c.node.Release(now, keys)
}

// reportLeases emits an event for each lease that was won or lost.
func (c *control) reportLeases(now time.Time) {
	var specs []magnoliashore.EventSpec
	c.mu.Lock()
	for id, held := range c.owned {
		_, holds := c.node.Until(now, lease.KeyOf(id))
		if holds == held {
			continue
		}
		c.owned[id] = holds
		code := event.LeaseLost
		if holds {
			code = event.LeaseHeld
		}
		specs = append(specs, magnoliashore.EventSpec{Code: code, Target: id})
	}
	c.mu.Unlock()
	for _, spec := range specs {
		c.host.emit(spec)
	}
}

// holdsAll reports whether there is a placement and every owned target has a
// lease.
func (c *control) holdsAll() bool {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.owned {
		if _, holds := c.node.Until(now, lease.KeyOf(id)); !holds {
			return false
		}
	}
	return len(c.placed) > 0
}
