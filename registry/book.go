package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// tombstones is how many removed keys a book remembers for its peers.
const tombstones = 1024

// entry is one key of a book.
type entry struct {
	item  Item
	fact  Decoded
	until time.Time // when a lapsed target is given up; zero while its entry stands
}

// Change is one belief that an item has changed.
type Change struct {
	Item    Item
	Decoded Decoded // what holds now, or held before a removal
	Err     error   // why the item says nothing that can be used
}

// Table decides which report of a key holds. It is not safe for concurrent
// use.
type Table struct {
	Decoder Decoder
	// GracePeriod is how long a target that was ready is kept after its entry has
	// gone without notice, as a last resort: the store drops the entries of
	// living targets when it was away.
	GracePeriod time.Duration

	entries  map[string]*entry
	removed  map[string]Item // removed keys, for peers that ask what has changed
	horizon  uint64          // changes up to this revision may have been forgotten
	revision uint64
	config   *catalog.Config
}

// Revision returns the revision up to which the book is complete; zero if it
// has never been.
func (b *Table) Revision() uint64 { return b.revision }

// Config returns the newest configuration; nil if none is known.
func (b *Table) Config() *catalog.Config { return b.config }

// Replace takes a whole listing. Keys that it lacks are removed, unless the
// book knows of a later change to them.
func (b *Table) Replace(now time.Time, batch Batch) []Change {
	seen := make(map[string]bool, len(batch.Items))
	for _, item := range batch.Items {
		seen[item.Key] = true
	}
	changes := b.Apply(now, Batch{Items: batch.Items, Revision: batch.Revision})
	for key, e := range b.entries {
		if !seen[key] && e.until.IsZero() && e.item.Revision <= batch.Revision {
			changes = b.apply(now, Item{Key: key, Revision: batch.Revision, Removed: true}, changes)
		}
	}
	return changes
}

// Apply takes changes and returns the beliefs that they changed.
func (b *Table) Apply(now time.Time, batch Batch) []Change {
	if b.entries == nil {
		b.entries = make(map[string]*entry)
		b.removed = make(map[string]Item)
	}
	items := slices.SortedFunc(slices.Values(batch.Items), func(x, y Item) int {
		return cmp.Compare(x.Revision, y.Revision)
	})
	var changes []Change
	for _, item := range items {
		changes = b.apply(now, item, changes)
	}
	b.revision = max(b.revision, batch.Revision)
	return changes
}

func (b *Table) apply(now time.Time, item Item, changes []Change) []Change {
	if b.known(item.Key) >= item.Revision {
		return changes
	}
	if item.Removed {
		return b.remove(now, item, changes)
	}
	delete(b.removed, item.Key)
	fact, err := b.Decoder.Decode(item, now)
	if err != nil {
		// A damaged report of a target takes its place: it names no target
		// to use. A damaged configuration leaves the former one in force.
		b.entries[item.Key] = &entry{item: item}
		return append(changes, Change{Item: item, Err: err})
	}
	b.entries[item.Key] = &entry{item: item, fact: fact}
	if fact.Config != nil && !b.advance(fact.Config) {
		return changes
	}
	return append(changes, Change{Item: item, Decoded: fact})
}

// advance puts a configuration in force if it is newer than the current one.
func (b *Table) advance(config *catalog.Config) bool {
	if b.config != nil && config.Version() <= b.config.Version() {
		return false
	}
	b.config = config
	return true
}

// known returns the revision of the latest report of a key.
func (b *Table) known(key string) uint64 {
	revision := b.removed[key].Revision
	if e, ok := b.entries[key]; ok {
		revision = max(revision, e.item.Revision)
	}
	return revision
}

func (b *Table) remove(now time.Time, item Item, changes []Change) []Change {
	e, ok := b.entries[item.Key]
	b.forget(item)
	if !ok {
		return changes
	}
	if t := e.fact.Target; t != nil && !t.Leaving() && b.GracePeriod > 0 {
		e.item = item
		e.until = now.Add(b.GracePeriod)
		return append(changes, Change{Item: item, Decoded: e.fact})
	}
	delete(b.entries, item.Key)
	return append(changes, Change{Item: item, Decoded: e.fact})
}

// forget remembers a removal, and drops the oldest half of the removals when
// there are too many.
func (b *Table) forget(item Item) {
	b.removed[item.Key] = item
	if len(b.removed) <= tombstones {
		return
	}
	items := make([]Item, 0, len(b.removed))
	for _, i := range b.removed {
		items = append(items, i)
	}
	slices.SortFunc(items, func(x, y Item) int { return cmp.Compare(x.Revision, y.Revision) })
	for _, i := range items[:len(items)/2] {
		b.horizon = max(b.horizon, i.Revision)
		delete(b.removed, i.Key)
	}
}

// View returns what may be used at now, and when that changes next without
// another report; zero if it does not. Lapsed targets are in the view only
// for services that have no other.
func (b *Table) View(now time.Time) (*catalog.View, time.Time) {
	out := b.zonesOut()
	ready := make(map[magnoliashore.ServiceName]bool)
	var targets, lapsed []*catalog.Target
	var next time.Time
	for key, e := range b.entries {
		t := e.fact.Target
		if t == nil || t.Leaving() || out[t.Zone()] {
			continue
		}
		if e.until.IsZero() {
			ready[t.Service()] = true
			targets = append(targets, t)
			continue
		}
		if !now.Before(e.until) {
			delete(b.entries, key)
			continue
		}
		if next.IsZero() || e.until.Before(next) {
			next = e.until
		}
		lapsed = append(lapsed, t)
	}
	for _, t := range lapsed {
		if !ready[t.Service()] {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(x, y *catalog.Target) int { return cmp.Compare(x.ID(), y.ID()) })
	return catalog.NewView(b.config, targets), next
}

// zonesOut returns the availability zones that operators have taken out.
func (b *Table) zonesOut() map[magnoliashore.ZoneName]bool {
	out := make(map[magnoliashore.ZoneName]bool)
	for _, e := range b.entries {
		if e.fact.EvacuatedZone != "" {
			out[e.fact.EvacuatedZone] = true
		}
	}
	return out
}

// After returns the items that changed after a revision, for a peer. It
// returns ErrCompacted if some of the changes may have been forgotten.
func (b *Table) After(revision uint64) (Batch, error) {
	if revision < b.horizon {
		return Batch{}, ErrCompacted
	}
	return Batch{Items: b.items(revision), Revision: b.revision}, nil
}

// All returns all items that stand, for a peer.
func (b *Table) All() Batch {
	items := slices.DeleteFunc(b.items(0), func(i Item) bool { return i.Removed })
	return Batch{Items: items, Revision: b.revision}
}

func (b *Table) items(after uint64) []Item {
	var items []Item
	for _, e := range b.entries {
		if e.item.Revision > after && !e.item.Removed {
			items = append(items, e.item)
		}
	}
	for _, i := range b.removed {
		if i.Revision > after {
			items = append(items, i)
		}
	}
	return items
}
