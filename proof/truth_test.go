package proof

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// groundTruth holds the facts to check answers against: the published snapshots,
// the targets' ledgers and the injected faults.
type groundTruth struct {
	snapshots map[magnoliashore.GroupName]map[magnoliashore.SnapshotID]magnoliashore.Snapshot
	zones     map[magnoliashore.TargetID]magnoliashore.ZoneName
	completed map[partitionRead][]standin.Entry
	faults    []faultWindow
}

// partitionRead identifies a target's read of one partition for one query.
type partitionRead struct {
	query     magnoliashore.QueryID
	partition magnoliashore.PartitionID
	target    magnoliashore.TargetID
	snapshot  magnoliashore.SnapshotID
}

// faultWindow is a period in which a target had a fault. If wrongReply is set,
// every request that began in it received a wrong reply or none; otherwise the
// target was only slow.
type faultWindow struct {
	target     magnoliashore.TargetID
	wrongReply bool
	from, to   time.Time
}

// groundTruth collects the targets' ledgers and the snapshots of the layouts.
func (c *cell) groundTruth(faults []faultWindow, layouts ...magnoliashore.Layout) *groundTruth {
	truth := &groundTruth{
		snapshots: make(map[magnoliashore.GroupName]map[magnoliashore.SnapshotID]magnoliashore.Snapshot),
		zones:     make(map[magnoliashore.TargetID]magnoliashore.ZoneName),
		completed: make(map[partitionRead][]standin.Entry),
		faults:    faults,
	}
	for _, layout := range layouts {
		truth.addLayout(layout)
	}
	for _, e := range c.ledger() {
		if e.Result() == standin.ResultDone {
			key := partitionRead{query: e.Query(), partition: e.Partition(), target: e.Target(), snapshot: e.Snapshot()}
			truth.completed[key] = append(truth.completed[key], e)
		}
	}
	return truth
}

func (truth *groundTruth) addLayout(layout magnoliashore.Layout) {
	for _, s := range layout.Snapshots() {
		if truth.snapshots[s.Group()] == nil {
			truth.snapshots[s.Group()] = make(map[magnoliashore.SnapshotID]magnoliashore.Snapshot)
		}
		truth.snapshots[s.Group()][s.ID()] = s
	}
	for _, target := range layout.Targets() {
		truth.zones[target.ID()] = target.Zone()
	}
}

// check checks an answer with the outcome ran to a query for the given services of
// a group, or for all its services if none is given.
func (truth *groundTruth) check(t *testing.T, answer magnoliashore.Answer, group magnoliashore.GroupName, services ...magnoliashore.ServiceName) {
	t.Helper()
	snapshot, ok := truth.snapshots[group][answer.Snapshot()]
	if !ok {
		t.Errorf("query %s: got snapshot %d, want a published one", answer.Query(), answer.Snapshot())
		return
	}
	var partitions []magnoliashore.Partition
	for _, p := range snapshot.Partitions() {
		if len(services) == 0 || slices.Contains(services, p.Service()) {
			partitions = append(partitions, p)
		}
	}
	covered := make(map[magnoliashore.PartitionID]bool)
	for _, partial := range answer.Parts() {
		if covered[partial.Partition()] {
			t.Errorf("query %s: got partition %s twice, want it once", answer.Query(), partial.Partition())
		}
		covered[partial.Partition()] = true
		truth.checkPartialResult(t, answer, partitions, partial)
	}
	truth.checkCoverage(t, answer, partitions, covered)
}

func (truth *groundTruth) checkPartialResult(t *testing.T, answer magnoliashore.Answer, partitions []magnoliashore.Partition, partial magnoliashore.Part) {
	t.Helper()
	i := slices.IndexFunc(partitions, func(p magnoliashore.Partition) bool { return p.ID() == partial.Partition() })
	if i < 0 || !slices.Contains(partitions[i].Targets(), partial.Target()) {
		t.Errorf("query %s: got partition %s from %s, want one of snapshot %d",
			answer.Query(), partial.Partition(), partial.Target(), answer.Snapshot())
	}
	want := standin.Body(string(partial.Partition()), uint64(answer.Snapshot()))
	if got := partial.Body(); !bytes.Equal(got, want) {
		t.Errorf("query %s, partition %s: got body %s, want %s", answer.Query(), partial.Partition(), got, want)
	}
	key := partitionRead{
		query: answer.Query(), partition: partial.Partition(), target: partial.Target(), snapshot: answer.Snapshot(),
	}
	if !slices.ContainsFunc(truth.completed[key], truth.beganOutsideFault) {
		t.Errorf("query %s: got partition %s of snapshot %d from %s, want a correct reply in its ledger",
			answer.Query(), partial.Partition(), answer.Snapshot(), partial.Target())
	}
}

// beganOutsideFault reports whether the request of an entry began outside the
// target's faults with wrong replies.
func (truth *groundTruth) beganOutsideFault(e standin.Entry) bool {
	return !slices.ContainsFunc(truth.faults, func(f faultWindow) bool {
		return f.wrongReply && f.target == e.Target() && e.Start().After(f.from) && e.Start().Before(f.to)
	})
}

func (truth *groundTruth) checkCoverage(
	t *testing.T, answer magnoliashore.Answer, partitions []magnoliashore.Partition, covered map[magnoliashore.PartitionID]bool,
) {
	t.Helper()
	coverage := answer.Coverage()
	if coverage.Covered() != len(covered) || coverage.Total() != len(partitions) {
		t.Errorf("query %s, coverage: got %d of %d, want %d of %d",
			answer.Query(), coverage.Covered(), coverage.Total(), len(covered), len(partitions))
	}
	missing := make(map[magnoliashore.PartitionID]bool)
	for _, miss := range coverage.Missing() {
		missing[miss.Partition()] = true
		if miss.Reason() == magnoliashore.ReasonNone {
			t.Errorf("query %s, missing %s: got no reason, want one", answer.Query(), miss.Partition())
		}
	}
	if len(missing) != len(coverage.Missing()) {
		t.Errorf("query %s, missing: got %v, want each once", answer.Query(), coverage.Missing())
	}
	want := make(map[magnoliashore.ZoneName][2]int)
	for _, p := range partitions {
		if missing[p.ID()] == covered[p.ID()] {
			t.Errorf("query %s, partition %s: got missing %v and covered %v, want one of them",
				answer.Query(), p.ID(), missing[p.ID()], covered[p.ID()])
		}
		truth.countInZones(want, p, covered[p.ID()])
	}
	for _, zone := range coverage.Zones() {
		if got := [2]int{zone.Covered(), zone.Total()}; got != want[zone.Zone()] {
			t.Errorf("query %s, zone %s: got %v, want %v", answer.Query(), zone.Zone(), got, want[zone.Zone()])
		}
		delete(want, zone.Zone())
	}
	for zone, counts := range want {
		t.Errorf("query %s, zone %s: got none, want %v", answer.Query(), zone, counts)
	}
}

// countInZones counts the partition once in each availability zone that has a
// replica of it.
func (truth *groundTruth) countInZones(counts map[magnoliashore.ZoneName][2]int, p magnoliashore.Partition, covered bool) {
	var zones []magnoliashore.ZoneName
	for _, target := range p.Targets() {
		if zone := truth.zones[target]; !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, zone := range zones {
		count := counts[zone]
		count[1]++
		if covered {
			count[0]++
		}
		counts[zone] = count
	}
}
