package registry_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/registry"
)

var start = time.Unix(1000, 0)

const (
	gracePeriod   = 2 * time.Second
	silencePeriod = 5 * time.Second
	outagePeriod  = 3 * time.Second
)

// decoder decodes "target SERVICE STATE", also with " PROCESS REPORT" in digits,
// "config VERSION" and "out ZONE".
type decoder struct{}

func (decoder) Decode(item registry.Item, _ time.Time) (registry.Decoded, error) {
	words := strings.Fields(string(item.Value))
	switch {
	case len(words) >= 3 && words[0] == "target":
		spec := catalog.TargetSpec{
			ID: magnoliashore.TargetID(item.Key), Service: magnoliashore.ServiceName(words[1]),
			Leaving: words[2] == "leaving", Zone: magnoliashore.ZoneName(item.Key[:1]),
		}
		if len(words) == 5 {
			spec.ProcessStart, spec.Report = int64(words[3][0]-'0'), uint64(words[4][0]-'0')
		}
		return registry.Decoded{Target: catalog.NewTarget(spec)}, nil
	case len(words) == 2 && words[0] == "config":
		return registry.Decoded{Config: catalog.NewConfig(catalog.ConfigSpec{Version: magnoliashore.Version(words[1][0] - '0')})}, nil
	case len(words) == 2 && words[0] == "out":
		return registry.Decoded{EvacuatedZone: magnoliashore.ZoneName(words[1])}, nil
	}
	return registry.Decoded{}, errors.New("unreadable")
}

func item(key, value string, revision uint64) registry.Item {
	return registry.Item{Key: key, Value: []byte(value), Revision: revision}
}

func removal(key string, revision uint64) registry.Item {
	return registry.Item{Key: key, Revision: revision, Removed: true}
}

func batch(revision uint64, items ...registry.Item) registry.Batch {
	return registry.Batch{Items: items, Position: registry.Position{Revision: revision}}
}

func newTable() *registry.Table {
	return &registry.Table{Decoder: decoder{}, GracePeriod: gracePeriod, SilencePeriod: silencePeriod, OutagePeriod: outagePeriod}
}

func targets(tbl *registry.Table, now time.Time, service magnoliashore.ServiceName) []magnoliashore.TargetID {
	view, _ := tbl.View(now)
	list := view.Targets(service)
	ids := make([]magnoliashore.TargetID, 0, len(list))
	for _, t := range list {
		ids = append(ids, t.ID())
	}
	return ids
}

func wantTargets(t *testing.T, tbl *registry.Table, now time.Time, want ...magnoliashore.TargetID) {
	t.Helper()
	if got := targets(tbl, now, "s"); !slices.Equal(got, want) {
		t.Errorf("got targets %v, want %v", got, want)
	}
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(5, item("op/config", "config 4", 5)))
	tbl.Apply(start, batch(9, item("op/config", "config 3", 9)))
	if got, want := tbl.Config().Version(), magnoliashore.Version(4); got != want {
		t.Errorf("got version %d after an older one, want %d", got, want)
	}
	tbl.Replace(start, batch(3, item("op/config", "config 2", 2)))
	if got, want := tbl.Config().Version(), magnoliashore.Version(4); got != want {
		t.Errorf("got version %d after a stale listing, want %d", got, want)
	}
	tbl.Apply(start, batch(12, item("op/config", "broken", 12)))
	if got, want := tbl.Config().Version(), magnoliashore.Version(4); got != want {
		t.Errorf("got version %d after an unreadable one, want %d", got, want)
	}
	tbl.Apply(start, batch(13, item("op/config", "config 6", 13)))
	if got, want := tbl.Config().Version(), magnoliashore.Version(6); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

func TestLateReportsAreIgnored(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(8, item("a1", "target s leaving", 8)))
	tbl.Apply(start, batch(8, item("a1", "target s ready", 4)))
	wantTargets(t, tbl, start)
	tbl.Apply(start, batch(9, removal("a1", 9)))
	tbl.Apply(start, batch(9, item("a1", "target s ready", 7)))
	wantTargets(t, tbl, start)
}

func TestLeavingTargetIsNotUsed(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(2, item("a1", "target s ready", 1), item("a2", "target s ready", 2)))
	tbl.Apply(start, batch(3, item("a1", "target s leaving", 3)))
	wantTargets(t, tbl, start, "a2")
	tbl.Apply(start, batch(4, removal("a1", 4)))
	wantTargets(t, tbl, start, "a2")
}

// TestLapsedTargetsAreALastResort has the store drop the entries of running
// targets, as after an outage, and restore some of them.
func TestLapsedTargetsAreALastResort(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(2, item("a1", "target s ready", 1), item("a2", "target s ready", 2)))
	tbl.Apply(start, batch(4, removal("a1", 3), removal("a2", 4)))
	wantTargets(t, tbl, start, "a1", "a2")
	tbl.Apply(start.Add(time.Second), batch(5, item("a1", "target s ready", 5)))
	wantTargets(t, tbl, start.Add(time.Second), "a1")
	_, next := tbl.View(start)
	if want := start.Add(gracePeriod); !next.Equal(want) {
		t.Errorf("got next change at %v, want %v", next, want)
	}
	tbl.Apply(start.Add(time.Second), batch(6, removal("a1", 6)))
	wantTargets(t, tbl, start.Add(2500*time.Millisecond), "a1")
	wantTargets(t, tbl, start.Add(3500*time.Millisecond))
}

func TestListingRemovesAbsentKeys(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Replace(start, batch(3, item("a1", "target s ready", 1), item("a2", "target s ready", 2)))
	tbl.Replace(start, batch(9, item("a2", "target s ready", 2)))
	wantTargets(t, tbl, start, "a2")
	tbl.Apply(start, batch(12, item("a3", "target s ready", 12)))
	tbl.Replace(start, batch(10, item("a2", "target s ready", 2)))
	wantTargets(t, tbl, start, "a2", "a3")
}

func TestZoneEvacuation(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(3, item("a1", "target s ready", 1), item("b1", "target s ready", 2)))
	tbl.Apply(start, batch(4, item("op/evacuate/a", "out a", 4)))
	wantTargets(t, tbl, start, "b1")
	tbl.Apply(start, batch(5, removal("op/evacuate/a", 5)))
	wantTargets(t, tbl, start, "a1", "b1")
}

func TestUndecodableEntryRemovesTarget(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(1, item("a1", "target s ready", 1)))
	changes := tbl.Apply(start, batch(2, item("a1", "nonsense", 2)))
	wantTargets(t, tbl, start)
	if len(changes) != 1 || changes[0].Err == nil {
		t.Errorf("got changes %+v, want one with an error", changes)
	}
}

// TestTableFollowsAnotherTable copies the items and changes of one table to
// another.
func TestTableFollowsAnotherTable(t *testing.T) {
	t.Parallel()
	first, second := newTable(), newTable()
	first.Apply(start, batch(3, item("a1", "target s ready", 1), item("a2", "target s ready", 2), item("op/config", "config 4", 3)))
	second.Replace(start, first.All())
	first.Apply(start, batch(7, item("a3", "target s ready", 5), item("a1", "target s leaving", 6), item("op/config", "config 5", 7)))
	changes, err := first.ChangesAfter(second.Position())
	if err != nil {
		t.Fatal(err)
	}
	second.Apply(start, changes)
	wantTargets(t, second, start, "a2", "a3")
	if got, want := second.Config().Version(), magnoliashore.Version(5); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

func TestCompactedChangesAreReported(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(1, item("a", "target s ready", 1)))
	for i := range uint64(3000) {
		key := "x" + string(rune('a'+i%26)) + time.Duration(i).String()
		tbl.Apply(start, batch(2+2*i+1, item(key, "target s leaving", 2+2*i), removal(key, 2+2*i+1)))
	}
	if _, err := tbl.ChangesAfter(registry.Position{Revision: 1}); !errors.Is(err, registry.ErrCompacted) {
		t.Errorf("got error %v, want %v", err, registry.ErrCompacted)
	}
}

// TestRemovalsBeforeAListingAreNotMissed guards against a follower that keeps a
// removed target for ever, because its new source listed the items only after the
// removal.
func TestRemovalsBeforeAListingAreNotMissed(t *testing.T) {
	t.Parallel()
	first := batch(5, item("a1", "target s ready", 4), item("a2", "target s ready", 5))
	listed := batch(9, item("a1", "target s ready", 4))
	started, relisted := newTable(), newTable()
	started.Replace(start, listed)
	relisted.Replace(start, batch(2))
	relisted.Replace(start, listed)
	for name, source := range map[string]*registry.Table{"started": started, "relisted": relisted} {
		follower := newTable()
		follower.Replace(start, first)
		changes, err := source.ChangesAfter(follower.Position())
		if errors.Is(err, registry.ErrCompacted) {
			follower.Replace(start, source.All())
		} else {
			follower.Apply(start, changes)
		}
		if got, want := targets(follower, start.Add(gracePeriod), "s"), []magnoliashore.TargetID{"a1"}; !slices.Equal(got, want) {
			t.Errorf("%s source: got targets %v, want %v", name, got, want)
		}
	}
	known := newTable()
	known.Replace(start, first)
	known.Replace(start, listed)
	if changes, err := known.ChangesAfter(registry.Position{Revision: 5}); err != nil || len(changes.Items) != 1 {
		t.Errorf("got %d changes and error %v, want the removal, without a listing", len(changes.Items), err)
	}
}

// TestGracePeriodOfALateRemoval guards against requests to a target for its whole grace
// period from when this host hears of its removal, although the store has removed it long
// before (review case 4): the host has read from one that was cut off. After an outage of
// the store, in which it drops entries of running targets, the period counts from its
// return.
func TestGracePeriodOfALateRemoval(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		contact time.Duration // before the removal is heard of; zero for unknown
		want    time.Duration // how long the target is used after that
	}{
		{"heard at once", 50 * time.Millisecond, gracePeriod - 50*time.Millisecond},
		{"heard late", 1900 * time.Millisecond, gracePeriod - 1900*time.Millisecond},
		{"heard after the grace period", gracePeriod + time.Millisecond, 0},
		{"heard after an outage", outagePeriod + time.Millisecond, gracePeriod},
		{"no contact is known", 0, gracePeriod},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tbl := newTable()
			tbl.Apply(start, batch(8, item("a1", "target s ready", 8)))
			removed := batch(9, removal("a1", 9))
			if test.contact > 0 {
				removed.Since = start.Add(-test.contact)
			}
			tbl.Apply(start, removed)
			if test.want > 0 {
				wantTargets(t, tbl, start.Add(test.want-1), "a1")
			}
			wantTargets(t, tbl, start.Add(test.want))
		})
	}
}
