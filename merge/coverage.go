package merge

import (
	"cmp"
	"slices"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/plan"
)

// Coverage returns which partitions of the plan are merged: the missing
// partitions in plan order, and the counts of each availability zone, ordered by
// name. A zone's total counts the partitions with a published replica in the
// zone. Its covered count is the merged ones among them, whichever replica
// answered.
func (m *Merger) Coverage() magnoliashore.Coverage {
	missing := make([]magnoliashore.Miss, 0, len(m.states)-m.merged)
	var zones zones
	for i, partition := range m.plan.Partitions() {
		state := m.states[i]
		if !state.merged {
			missing = append(missing, magnoliashore.NewMiss(partition.PartitionID(), state.reason))
		}
		m.count(&zones, partition, state.merged)
	}
	return magnoliashore.NewCoverage(m.merged, len(m.states), missing, zones.list())
}

// count adds a partition to the counts of every zone in which it has a published
// replica.
func (m *Merger) count(zones *zones, partition plan.Partition, merged bool) {
	replicas := partition.Replicas()
	for i, id := range replicas {
		t, ok := m.view.Layout().Target(id)
		if !ok || m.anyInZone(replicas[:i], t.Zone()) {
			continue
		}
		zones.add(t.Zone(), merged)
	}
}

// anyInZone reports whether one of the replicas is published in the zone.
func (m *Merger) anyInZone(replicas []magnoliashore.TargetID, zone magnoliashore.ZoneName) bool {
	return slices.ContainsFunc(replicas, func(id magnoliashore.TargetID) bool {
		t, ok := m.view.Layout().Target(id)
		return ok && t.Zone() == zone
	})
}

// zones counts partitions by availability zone. The counts are ordered by zone
// name.
type zones struct{ counts []zoneCount }

type zoneCount struct {
	zone    magnoliashore.ZoneName
	covered int
	total   int
}

func (z *zones) add(zone magnoliashore.ZoneName, merged bool) {
	i, ok := slices.BinarySearchFunc(z.counts, zone, func(c zoneCount, name magnoliashore.ZoneName) int {
		return cmp.Compare(c.zone, name)
	})
	if !ok {
		z.counts = slices.Insert(z.counts, i, zoneCount{zone: zone})
	}
	z.counts[i].total++
	if merged {
		z.counts[i].covered++
	}
}

func (z *zones) list() []magnoliashore.ZoneCoverage {
	list := make([]magnoliashore.ZoneCoverage, len(z.counts))
	for i, c := range z.counts {
		list[i] = magnoliashore.NewZoneCoverage(c.zone, c.covered, c.total)
	}
	return list
}
