package entry

import (
	"cmp"
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// Entries returns the entry hosts that a caller in zone may use: they answer
// heartbeats, are not leaving, and their availability zone is not switched off.
// Hosts in the caller's zone come first, then those with the fewest queries in
// flight.
func (h *Host) Entries(zone magnoliashore.ZoneName) magnoliashore.Entries {
	type ranked struct {
		entry    magnoliashore.Entry
		sameZone bool
		queries  int
	}
	var list []ranked
	for _, seat := range h.view().Layout().Seats() {
		entry, queries, ok := h.control.callerEntry(seat)
		if ok {
			list = append(list, ranked{entry: entry, sameZone: seat.Zone() == zone, queries: queries})
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		if a.sameZone != b.sameZone {
			if a.sameZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.queries, b.queries)
	})
	entries := make([]magnoliashore.Entry, 0, len(list))
	for _, r := range list {
		entries = append(entries, r.entry)
	}
	h.entriesServedAt.Store(h.Timer.Now().UnixMicro())
	return magnoliashore.NewEntries(entries, h.Settings.Limits.Keep)
}

// callerEntry returns the entry for a seat and its queries in flight, and false
// if callers should not use it.
func (c *control) callerEntry(seat magnoliashore.Seat) (magnoliashore.Entry, int, bool) {
	view := c.host.view()
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isReachable(now, seat.Host()) || c.isLeaving(seat.Host(), view) || view.Table().ZoneOut(seat.Zone()) {
		return magnoliashore.Entry{}, 0, false
	}
	if seat.Host() == c.host.Settings.Host {
		entry := magnoliashore.NewEntry(
			seat.Host(), c.host.incarnation, c.host.tickets.epoch(), seat.Zone(), seat.Caller())
		return entry, int(c.host.inFlight.Load()), c.host.Ready()
	}
	info := c.members[seat.Host()].info
	entry := magnoliashore.NewEntry(seat.Host(), info.Incarnation, info.Epoch, seat.Zone(), seat.Caller())
	return entry, info.Queries, info.Ready
}
