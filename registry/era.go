package registry

import (
	"time"

	"github.com/magnoliashore/magnoliashore/catalog"
)

// withheld is a report in the copy from which the store was restored that is known
// to be outdated. It is applied if the store still has it after the time in which
// it removes the entries of silent targets.
type withheld struct {
	entry *entry
	until time.Time
}

// beginEra begins an era, before its first listing is applied. All reports of the
// era are later than those that the table has, except for reports in the copy that
// the table knows to be older.
func (tbl *Table) beginEra(era uint64) {
	for _, e := range tbl.entries {
		e.former = true
	}
	for _, t := range tbl.tombstones {
		t.former = true
	}
	tbl.withheld = make(map[string]withheld)
	tbl.compacted, tbl.unseen = 0, span{}
	tbl.position = Position{Era: era}
}

// skipAll skips all items of a batch.
func skipAll(batch Batch) []Change {
	skipped := make([]Change, len(batch.Items))
	for i, item := range batch.Items {
		skipped[i] = Change{Item: item, Skipped: errOtherEra}
	}
	return skipped
}

// isOutdatedCopy reports whether the table knows from a former era that a target
// has made a later report than the one in the copy, or has gone since.
func (tbl *Table) isOutdatedCopy(key string, copied *catalog.Target) bool {
	if t := tbl.formerTombstone(key); t != nil {
		return copied.SameProcess(t.target) && !t.target.ReportedBefore(copied)
	}
	e, ok := tbl.entries[key]
	return ok && e.former && e.decoded.Target != nil && copied.ReportedBefore(e.decoded.Target)
}

// formerTombstone returns the tombstone of a target that was removed in a former
// era; nil if there is none.
func (tbl *Table) formerTombstone(key string) *tombstone {
	if t, ok := tbl.tombstones[key]; ok && t.former && t.target != nil {
		return t
	}
	return nil
}

// withhold keeps an outdated report in the copy for later. What the table knows of
// the target counts as of the revision of the copy.
func (tbl *Table) withhold(now time.Time, item Item, decoded Decoded) {
	if t := tbl.formerTombstone(item.Key); t != nil {
		t.item.Revision, t.former = item.Revision, false
	} else {
		tbl.entries[item.Key].confirm(item.Revision)
	}
	tbl.withheld[item.Key] = withheld{entry: &entry{item: item, decoded: decoded}, until: now.Add(tbl.SilencePeriod)}
}

// isWithheld reports whether the latest report of a key is withheld.
func (tbl *Table) isWithheld(key string) bool {
	w, ok := tbl.withheld[key]
	return ok && tbl.latestRevision(key) == w.entry.item.Revision
}

// expire removes the lapsed entries whose grace period is over, and applies the
// reports that were withheld long enough. It returns the time of its next change;
// zero if there is none.
func (tbl *Table) expire(now time.Time) time.Time {
	var next time.Time
	before := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for key, w := range tbl.withheld {
		switch {
		case !tbl.isWithheld(key):
			delete(tbl.withheld, key)
		case now.Before(w.until):
			before(w.until)
		default:
			delete(tbl.withheld, key)
			delete(tbl.tombstones, key)
			tbl.entries[key] = w.entry
			tbl.settled = append(tbl.settled, Change{Item: w.entry.item, Decoded: w.entry.decoded})
		}
	}
	for key, e := range tbl.entries {
		switch {
		case e.expires.IsZero():
		case now.Before(e.expires):
			before(e.expires)
		default:
			delete(tbl.entries, key)
		}
	}
	return next
}

// Settled returns the withheld reports that View has applied since the last call.
func (tbl *Table) Settled() []Change {
	settled := tbl.settled
	tbl.settled = nil
	return settled
}
