package registry

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// maxTombstones is the largest number of removed keys that a table keeps for its peers.
const maxTombstones = 1024

// entry is one key of a table.
type entry struct {
	item    Item
	decoded Decoded
	expires time.Time // end of the grace period of a lapsed entry; zero while the store has it
	former  bool      // reported in a former era of the store
}

// span is a range of revisions without its ends.
type span struct {
	start, end uint64
}

func (s span) contains(revision uint64) bool { return s.start < revision && revision < s.end }

// tombstone is a removed key.
type tombstone struct {
	item   Item
	target *catalog.Target // last report of a target; nil for other keys
	former bool            // removed in a former era of the store
}

// Reasons not to apply an item.
var (
	errOutdated     = errors.New("a later revision of the key is known")
	errOtherEra     = errors.New("the entry belongs to another era of the store")
	errOlderVersion = errors.New("the configuration in force has the same or a higher version")
	errConfigKept   = errors.New("a configuration stays in force until there is a newer one")
	errOlderReport  = errors.New("a later report of the same process was known before the store was restored")
	errZoneKept     = errors.New("the restored store lacks the evacuation, which lasts for the grace period")
)

// Change is a change of an item, or an item that was not applied.
type Change struct {
	Item    Item
	Decoded Decoded // current value, or the last one before a removal
	Err     error   // why the item cannot be decoded
	Skipped error   // why the item was not applied
}

// Table holds the latest report of each key. Reports of an era may arrive in any
// order; the one with the highest revision wins. A later era begins with a
// listing. Configurations are ordered by their version alone, so that the one in
// force also outlives a store that has lost it, and is what peers receive. The
// table is not safe for concurrent use.
type Table struct {
	Decoder Decoder
	// GracePeriod is how long a ready target remains usable as a last resort after
	// its entry was removed without the target leaving first. The store drops the
	// entries of running targets after an outage. An evacuation that a restored
	// store lacks lasts as long, until it must have been written again.
	GracePeriod time.Duration
	// OutagePeriod is the least time without contact with the store after which entries may
	// be missing because the store was away, and not because their targets have left.
	OutagePeriod time.Duration
	// SilencePeriod is how long the store may keep the entry of a silent target.
	SilencePeriod time.Duration

	entries    map[string]*entry
	tombstones map[string]*tombstone // removed keys, for peers that request changes
	withheld   map[string]withheld
	settled    []Change
	compacted  uint64 // tombstones up to this revision may be missing
	unseen     span   // removals in it, of keys that the table never had, are unknown
	position   Position
	since      time.Time // Batch.Since of the batch that is applied
	config     *catalog.Config
	departures map[magnoliashore.TargetID]departure
}

// Position returns the position up to which the table is complete; zero before
// the first listing.
func (tbl *Table) Position() Position { return tbl.position }

// Config returns the newest configuration; nil if none is known.
func (tbl *Table) Config() *catalog.Config { return tbl.config }

// Replace applies a complete listing. It removes keys that are not listed, unless
// the table has a later change of them. It skips a listing of a former era.
func (tbl *Table) Replace(now time.Time, batch Batch) []Change {
	if batch.Position.Era < tbl.position.Era {
		return skipAll(batch)
	}
	restored := batch.Position.Era > tbl.position.Era
	if restored {
		tbl.beginEra(batch.Position.Era)
	}
	tbl.recordUnseen(batch.Position.Revision)
	listed := make(map[string]bool, len(batch.Items))
	for _, item := range batch.Items {
		listed[item.Key] = true
	}
	changes := tbl.Apply(now, batch)
	for key, e := range tbl.entries {
		if !listed[key] && e.expires.IsZero() && (e.former || e.item.Revision <= batch.Position.Revision) {
			changes = tbl.apply(now, Item{Key: key, Revision: batch.Position.Revision, Removed: true}, changes)
		}
	}
	if restored {
		maps.DeleteFunc(tbl.tombstones, func(_ string, t *tombstone) bool { return t.former })
	}
	return changes
}

// recordUnseen records that a listing follows the position of the table. Keys that
// were created and removed in between left no trace, but a peer may have them.
func (tbl *Table) recordUnseen(listed uint64) {
	if listed <= tbl.position.Revision {
		return
	}
	tbl.compacted = max(tbl.compacted, tbl.unseen.end)
	tbl.unseen = span{start: tbl.position.Revision, end: listed}
}

// Apply applies items of the current era and returns the resulting changes, and
// the items that it skipped.
func (tbl *Table) Apply(now time.Time, batch Batch) []Change {
	if batch.Position.Era != tbl.position.Era {
		return skipAll(batch)
	}
	tbl.since = batch.Since
	if tbl.entries == nil {
		tbl.entries = make(map[string]*entry)
		tbl.tombstones = make(map[string]*tombstone)
	}
	items := slices.SortedFunc(slices.Values(batch.Items), func(x, y Item) int {
		return cmp.Compare(x.Revision, y.Revision)
	})
	var changes []Change
	for _, item := range items {
		changes = tbl.apply(now, item, changes)
	}
	tbl.position.Revision = max(tbl.position.Revision, batch.Position.Revision)
	return changes
}

func (tbl *Table) apply(now time.Time, item Item, changes []Change) []Change {
	switch latest := tbl.latestRevision(item.Key); {
	case latest == item.Revision:
		return changes
	case latest > item.Revision:
		return append(changes, Change{Item: item, Skipped: errOutdated})
	}
	if item.Removed {
		return tbl.remove(now, item, changes)
	}
	e, ok := tbl.entries[item.Key]
	holdsConfig := ok && e.decoded.Config != nil
	if ok && (e.former || holdsConfig) && bytes.Equal(e.item.Value, item.Value) {
		e.confirm(item.Revision)
		return changes
	}
	decoded, err := tbl.Decoder.Decode(item, now)
	switch {
	case err != nil && holdsConfig:
		e.confirm(item.Revision)
		return append(changes, Change{Item: item, Err: err})
	case err != nil:
		// An undecodable report of a target replaces the former one: the target
		// is no longer used.
		delete(tbl.tombstones, item.Key)
		tbl.entries[item.Key] = &entry{item: item}
		return append(changes, Change{Item: item, Err: err})
	case decoded.Config != nil && !tbl.setConfig(decoded.Config):
		e.confirm(item.Revision)
		return append(changes, Change{Item: item, Decoded: decoded, Skipped: errOlderVersion})
	case decoded.Target != nil && tbl.isOutdatedCopy(item.Key, decoded.Target):
		tbl.withhold(now, item, decoded)
		return append(changes, Change{Item: item, Decoded: decoded, Skipped: errOlderReport})
	}
	delete(tbl.tombstones, item.Key)
	tbl.entries[item.Key] = &entry{item: item, decoded: decoded}
	return append(changes, Change{Item: item, Decoded: decoded})
}

// confirm keeps the value of an entry as of a revision of the current era.
func (e *entry) confirm(revision uint64) {
	e.item.Revision, e.former = revision, false
}

// setConfig puts a configuration in force if it is newer than the current one.
func (tbl *Table) setConfig(config *catalog.Config) bool {
	if tbl.config != nil && config.Version() <= tbl.config.Version() {
		return false
	}
	tbl.config = config
	return true
}

// latestRevision returns the revision of the latest report of a key in the current
// era; zero if there is none.
func (tbl *Table) latestRevision(key string) uint64 {
	var revision uint64
	if t, ok := tbl.tombstones[key]; ok && !t.former {
		revision = t.item.Revision
	}
	if e, ok := tbl.entries[key]; ok && !e.former {
		revision = max(revision, e.item.Revision)
	}
	return revision
}

func (tbl *Table) remove(now time.Time, item Item, changes []Change) []Change {
	e, ok := tbl.entries[item.Key]
	if ok && e.decoded.Config != nil {
		e.confirm(item.Revision)
		return append(changes, Change{Item: item, Decoded: e.decoded, Skipped: errConfigKept})
	}
	if !ok {
		tbl.addTombstone(&tombstone{item: item})
		return changes
	}
	tbl.addTombstone(&tombstone{item: item, target: e.decoded.Target})
	if t := e.decoded.Target; t != nil && !t.Leaving() && tbl.GracePeriod > 0 {
		e.lapse(item, tbl.graceEnd(now, e))
		return append(changes, Change{Item: item, Decoded: e.decoded})
	}
	if e.decoded.EvacuatedZone != "" && e.former && tbl.GracePeriod > 0 {
		e.lapse(item, now.Add(tbl.GracePeriod))
		return append(changes, Change{Item: item, Decoded: e.decoded, Skipped: errZoneKept})
	}
	delete(tbl.entries, item.Key)
	return append(changes, Change{Item: item, Decoded: e.decoded})
}

// graceEnd returns the end of the grace period of an entry that is removed. It counts from
// the latest contact with the store before, since the removal may be as old: a host that
// reads from one which is cut off hears of it late. After an outage of the store, or if it
// was restored, the period counts from now: running targets have to write their entries
// again.
func (tbl *Table) graceEnd(now time.Time, e *entry) time.Time {
	if tbl.since.IsZero() || e.former || now.Sub(tbl.since) > tbl.OutagePeriod {
		return now.Add(tbl.GracePeriod)
	}
	return tbl.since.Add(tbl.GracePeriod)
}

// lapse keeps an entry until a time after its removal.
func (e *entry) lapse(removal Item, until time.Time) {
	e.item, e.former, e.expires = removal, false, until
}

// addTombstone records a removal. It discards the older half of the tombstones
// when there are too many.
func (tbl *Table) addTombstone(added *tombstone) {
	tbl.tombstones[added.item.Key] = added
	if len(tbl.tombstones) <= maxTombstones {
		return
	}
	items := make([]Item, 0, len(tbl.tombstones))
	for _, t := range tbl.tombstones {
		if !t.former {
			items = append(items, t.item)
		}
	}
	slices.SortFunc(items, func(x, y Item) int { return cmp.Compare(x.Revision, y.Revision) })
	for _, i := range items[:len(items)/2] {
		tbl.compacted = max(tbl.compacted, i.Revision)
		delete(tbl.tombstones, i.Key)
	}
}

// View returns the usable configuration and targets at now, and the time at which
// they change without another report; zero if they do not. Lapsed targets, and those
// that say themselves that they leave, are used only for services without another target.
func (tbl *Table) View(now time.Time) (*catalog.View, time.Time) {
	next := tbl.expire(now)
	evacuated := tbl.evacuatedZones()
	lastResort, end := tbl.departing(now)
	if next.IsZero() || !end.IsZero() && end.Before(next) {
		next = end
	}
	ready := make(map[magnoliashore.ServiceName]bool)
	var targets, lapsed, others []*catalog.Target
	for _, e := range tbl.entries {
		t := e.decoded.Target
		switch {
		case t == nil:
		case t.Leaving() || evacuated[t.Zone()] || tbl.hasDeparted(t) && !lastResort[t.ID()]:
			others = append(others, t)
		case tbl.hasDeparted(t):
			lapsed = append(lapsed, t)
		case e.expires.IsZero():
			ready[t.Service()] = true
			targets = append(targets, t)
		default:
			lapsed = append(lapsed, t)
		}
	}
	for _, t := range lapsed {
		if ready[t.Service()] {
			others = append(others, t)
		} else {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(x, y *catalog.Target) int { return cmp.Compare(x.ID(), y.ID()) })
	return catalog.NewView(tbl.config, targets, others...), next
}

// evacuatedZones returns the availability zones that operators have evacuated.
func (tbl *Table) evacuatedZones() map[magnoliashore.ZoneName]bool {
	zones := make(map[magnoliashore.ZoneName]bool)
	for _, e := range tbl.entries {
		if e.decoded.EvacuatedZone != "" {
			zones[e.decoded.EvacuatedZone] = true
		}
	}
	return zones
}

// ChangesAfter returns the items that changed after a position, for a peer. It
// returns ErrCompacted if some of the changes may have been discarded, and no
// items if the peer knows a later era.
func (tbl *Table) ChangesAfter(after Position) (Batch, error) {
	switch {
	case after.Era > tbl.position.Era:
		return Batch{Position: tbl.position}, nil
	case after.Era < tbl.position.Era, after.Revision < tbl.compacted, tbl.unseen.contains(after.Revision):
		return Batch{}, ErrCompacted
	}
	return Batch{Items: tbl.items(after.Revision), Position: tbl.position}, nil
}

// All returns all items that are not removed, for a peer.
func (tbl *Table) All() Batch {
	items := slices.DeleteFunc(tbl.items(0), func(i Item) bool { return i.Removed })
	return Batch{Items: items, Position: tbl.position}
}

// items returns the items that changed after a revision of the current era.
// Withheld reports are among them: each peer decides by what it knows itself.
func (tbl *Table) items(after uint64) []Item {
	var items []Item
	for key, e := range tbl.entries {
		if e.item.Revision > after && !e.item.Removed && !tbl.isWithheld(key) {
			items = append(items, e.item)
		}
	}
	for key, t := range tbl.tombstones {
		if t.item.Revision > after && !t.former && !tbl.isWithheld(key) {
			items = append(items, t.item)
		}
	}
	for key, w := range tbl.withheld {
		if w.entry.item.Revision > after && tbl.isWithheld(key) {
			items = append(items, w.entry.item)
		}
	}
	return items
}
