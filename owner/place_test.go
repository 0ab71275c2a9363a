package owner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/magnoliashore/magnoliashore"
)

// cell returns a layout of targets in three zones, two for each partition,
// and live members spread over the zones.
func cell(targets, members int) (magnoliashore.Layout, []Member) {
	spec := magnoliashore.LayoutSpec{Version: 1}
	var partitions []magnoliashore.Partition
	for i := range targets {
		id := magnoliashore.TargetID(fmt.Sprintf("look%d%c", i/2, 'a'+i%2))
		spec.Targets = append(spec.Targets, magnoliashore.NewTarget(id, "look", zone(i/2+i%2), ""))
		if i%2 == 1 {
			pair := []magnoliashore.TargetID{spec.Targets[i-1].ID(), id}
			name := magnoliashore.PartitionID(fmt.Sprintf("look%d", i/2))
			partitions = append(partitions, magnoliashore.NewPartition(name, "look", pair))
		}
	}
	spec.Snapshots = []magnoliashore.Snapshot{magnoliashore.NewSnapshot(1, "gallery", partitions)}
	live := make([]Member, 0, members)
	for i := range members {
		live = append(live, Member{Host: magnoliashore.HostID(fmt.Sprintf("e%d", i)), Zone: zone(i)})
	}
	return magnoliashore.NewLayout(spec), live
}

func zone(i int) magnoliashore.ZoneName { return magnoliashore.ZoneName(rune('a' + i%3)) }

var sizes = []struct{ targets, members int }{{57, 8}, {118, 8}, {57, 7}, {57, 3}, {57, 2}, {3, 8}, {57, 1}}

func TestPlace(t *testing.T) {
	t.Parallel()
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			layout, live := cell(size.targets, size.members)
			p := Place(layout, live)
			limit := capOf(size.targets, size.members)
			checkLoad(t, p, live, limit)
			siblings := siblingsOf(layout)
			for _, target := range layout.Targets() {
				checkHosts(t, p, target.ID(), size.members)
				checkBest(t, p, target, live, limit, siblings[target.ID()])
			}
			for _, part := range layout.Snapshots()[0].Partitions() {
				one, _ := p.Owner(part.Targets()[0])
				two, _ := p.Owner(part.Targets()[1])
				if one == two && size.members > 1 {
					t.Errorf("both replicas of %s are on %s", part.ID(), one)
				}
			}
		})
	}
}

func checkLoad(t *testing.T, p Placement, live []Member, limit int) {
	t.Helper()
	for _, m := range live {
		if got := len(p.Owned(m.Host)); got > limit {
			t.Errorf("%s owns %d targets, want at most %d", m.Host, got, limit)
		}
	}
}

// checkHosts checks that the owner and the standbys of a target differ and
// that the lists by host agree.
func checkHosts(t *testing.T, p Placement, id magnoliashore.TargetID, members int) {
	t.Helper()
	owner, ok := p.Owner(id)
	if !ok || !slices.Contains(p.Owned(owner), id) {
		t.Errorf("%s: owner %q does not own it", id, owner)
	}
	standbys := p.Standbys(id)
	if got, want := len(standbys), min(members-1, standbyCount); got != want {
		t.Errorf("%s: got %d standbys, want %d", id, got, want)
	}
	for i, host := range standbys {
		if host == owner || slices.Contains(standbys[:i], host) || !slices.Contains(p.Stood(host), id) {
			t.Errorf("%s: standbys %v of owner %s", id, standbys, owner)
		}
	}
}

// checkBest checks that every member which suits the target better than its
// owner has no room for it.
func checkBest(t *testing.T, p Placement, target magnoliashore.Target, live []Member, limit int,
	siblings map[magnoliashore.TargetID]bool) {
	t.Helper()
	owner, _ := p.Owner(target.ID())
	i := slices.IndexFunc(live, func(m Member) bool { return m.Host == owner })
	for _, m := range live {
		owned := p.Owned(m.Host)
		room := len(owned) < limit && !slices.ContainsFunc(owned, func(id magnoliashore.TargetID) bool { return siblings[id] })
		if room && scoreOf(target, m).compare(scoreOf(target, live[i])) > 0 {
			t.Errorf("%s is on %s, but %s suits it better and has room", target.ID(), owner, m.Host)
		}
	}
}

// TestPlaceChange removes each member in turn. Its targets move; those of the
// other members move only for the cap or a replica, which are few. The order
// of the members does not matter.
func TestPlaceChange(t *testing.T) {
	t.Parallel()
	for _, size := range sizes[:3] {
		layout, live := cell(size.targets, size.members)
		before := Place(layout, live)
		moved := 0
		for i, gone := range live {
			rest := slices.Delete(slices.Clone(live), i, i+1)
			slices.Reverse(rest)
			after := Place(layout, rest)
			for _, target := range layout.Targets() {
				old, _ := before.Owner(target.ID())
				if now, _ := after.Owner(target.ID()); now != old && old != gone.Host {
					moved++
				}
			}
		}
		t.Logf("%v: %d targets of other members move in %d changes", size, moved, size.members)
		if got, want := moved, size.targets/4; got > want {
			t.Errorf("%v: %d targets of other members moved, want at most %d", size, got, want)
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, size := range sizes[:2] {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			layout, live := cell(size.targets, size.members)
			for b.Loop() {
				Place(layout, live)
			}
		})
	}
}
