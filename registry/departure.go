package registry

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// forgetDeparture is how long the table remembers a departure of a target that has no
// entry. The store drops the entries of running targets during an outage.
const forgetDeparture = 10 * time.Minute

// departure is a target that has said itself that it leaves. It counts for the life of
// its process, whatever its entry says: there is no other sign that it stays after all.
type departure struct {
	target *catalog.Target
	since  time.Time
}

// Depart records that a target has said that it leaves. It reports whether that is news.
func (tbl *Table) Depart(now time.Time, t *catalog.Target) bool {
	if tbl.hasDeparted(t) || tbl.isReplaced(t) {
		return false
	}
	if tbl.departures == nil {
		tbl.departures = make(map[magnoliashore.TargetID]departure)
	}
	tbl.departures[t.ID()] = departure{target: t, since: now}
	return true
}

// isReplaced reports whether another process has the ID of a target by now.
func (tbl *Table) isReplaced(t *catalog.Target) bool {
	for _, e := range tbl.entries {
		if current := e.decoded.Target; current != nil && current.ID() == t.ID() {
			return !current.MayBeProcessOf(t)
		}
	}
	return false
}

// hasDeparted reports whether the process of a target has said that it leaves.
func (tbl *Table) hasDeparted(t *catalog.Target) bool {
	d, ok := tbl.departures[t.ID()]
	return ok && t.MayBeProcessOf(d.target)
}

// departing returns the targets whose grace period since their departure is not over, and
// when the first of these ends; zero if there is none. It forgets the departures of
// processes that are gone.
func (tbl *Table) departing(now time.Time) (map[magnoliashore.TargetID]bool, time.Time) {
	var (
		departing map[magnoliashore.TargetID]bool
		first     time.Time
	)
	current := make(map[magnoliashore.TargetID]*catalog.Target, len(tbl.departures))
	if len(tbl.departures) > 0 {
		for _, e := range tbl.entries {
			if t := e.decoded.Target; t != nil {
				current[t.ID()] = t
			}
		}
	}
	for id, d := range tbl.departures {
		t, listed := current[id]
		if listed && !t.MayBeProcessOf(d.target) || !listed && now.Sub(d.since) > forgetDeparture {
			delete(tbl.departures, id)
			continue
		}
		end := d.since.Add(tbl.GracePeriod)
		if !now.Before(end) {
			continue
		}
		if departing == nil {
			departing = make(map[magnoliashore.TargetID]bool)
		}
		departing[id] = true
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return departing, first
}
