package merge

import (
	"cmp"
	"slices"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/plan"
)

// Coverage returns how much of the plan is merged: the missing partitions in
// plan order, and the availability zones by name. A zone's total counts the
// partitions with a published replica there, and its covered count those that
// are merged, whichever replica answered.
func (m *Merger) Coverage() magnoliashore.Coverage {
	missing := make([]magnoliashore.Miss, 0, len(m.slots)-m.merged)
	var zones zones
	for i, piece := range m.plan.Partitions() {
		s := m.slots[i]
		if !s.merged {
			missing = append(missing, magnoliashore.NewMiss(piece.PartitionID(), s.reason))
		}
		m.count(&zones, piece, s.merged)
	}
	return magnoliashore.NewCoverage(m.merged, len(m.slots), missing, zones.list())
}

// count adds one partition to every zone where it has a published replica.
func (m *Merger) count(zones *zones, piece plan.Partition, merged bool) {
	replicas := piece.Replicas()
	for i, id := range replicas {
		t, ok := m.view.Layout().Target(id)
		if !ok || m.before(replicas[:i], t.Zone()) {
			continue
		}
		zones.add(t.Zone(), merged)
	}
}

// before reports whether one of the replicas is published in the zone.
func (m *Merger) before(replicas []magnoliashore.TargetID, zone magnoliashore.ZoneName) bool {
	return slices.ContainsFunc(replicas, func(id magnoliashore.TargetID) bool {
		t, ok := m.view.Layout().Target(id)
		return ok && t.Zone() == zone
	})
}

// zones counts partitions by availability zone, ordered by name.
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
