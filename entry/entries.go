package entry

import (
	"cmp"
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// Entries returns the addresses for a caller in zone: the hosts that answer
// heartbeats, are not leaving and whose availability zone is in; those of the
// caller's zone first, then those with the fewest queries in flight.
func (h *Host) Entries(zone magnoliashore.ZoneName) magnoliashore.Entries {
	type ranked struct {
		entry   magnoliashore.Entry
		near    bool
		queries int
	}
	var list []ranked
	for _, seat := range h.view().Layout().Seats() {
		entry, queries, ok := h.control.entry(seat)
		if ok {
			list = append(list, ranked{entry: entry, near: seat.Zone() == zone, queries: queries})
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.queries, b.queries)
	})
	out := make([]magnoliashore.Entry, 0, len(list))
	for _, r := range list {
		out = append(out, r.entry)
	}
	h.lastKeep.Store(h.Timer.Now().UnixMicro())
	return magnoliashore.NewEntries(out, h.Settings.Limits.Keep)
}

// entry returns what callers need to know of a seat, and its queries in
// flight; false if callers should not use it.
func (c *control) entry(seat magnoliashore.Seat) (magnoliashore.Entry, int, bool) {
	view := c.host.view()
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answers(now, seat.Host()) || c.departing(seat.Host(), view) || view.Table().ZoneOut(seat.Zone()) {
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
