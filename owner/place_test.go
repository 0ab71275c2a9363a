package owner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/magnoliashore/magnoliashore"
)

// cell returns a layout of targets in three availability zones, two for each
// partition, and live members spread over the zones.
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
			limit := maxTargetsOf(size.targets, size.members)
			checkLoad(t, p, live, limit)
			siblings := siblingsOf(layout)
			for _, target := range layout.Targets() {
				checkHosts(t, p, target.ID(), size.members)
				checkPreference(t, p, target, live, limit, siblings[target.ID()])
			}
			for _, partition := range layout.Snapshots()[0].Partitions() {
				first, _ := p.Owner(partition.Targets()[0])
				second, _ := p.Owner(partition.Targets()[1])
				if first == second && size.members > 1 {
					t.Errorf("both replicas of %s are on %s", partition.ID(), first)
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

// checkHosts checks that the owner and the standbys of a target differ, and
// that Owned and StandbyFor agree with them.
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
		if host == owner || slices.Contains(standbys[:i], host) || !slices.Contains(p.StandbyFor(host), id) {
			t.Errorf("%s: invalid standbys %v for owner %s", id, standbys, owner)
		}
	}
}

// checkPreference checks that every member with a higher score than the owner
// of the target has no capacity for it.
func checkPreference(t *testing.T, p Placement, target magnoliashore.Target, live []Member, limit int,
	siblings map[magnoliashore.TargetID]bool) {
	t.Helper()
	owner, _ := p.Owner(target.ID())
	i := slices.IndexFunc(live, func(m Member) bool { return m.Host == owner })
	for _, m := range live {
		owned := p.Owned(m.Host)
		hasCapacity := len(owned) < limit && !slices.ContainsFunc(owned, func(id magnoliashore.TargetID) bool { return siblings[id] })
		if hasCapacity && scoreOf(target, m).compare(scoreOf(target, live[i])) > 0 {
			t.Errorf("%s is on %s, but %s has a higher score and capacity for it", target.ID(), owner, m.Host)
		}
	}
}

// TestPlaceChange removes each member in turn. Its targets must move. Few
// targets of other members may move, because of the limit per member or the
// other target of their partition. The order of the members must not matter.
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
