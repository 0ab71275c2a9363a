// Package plan makes the plan of a query: the partitions of one snapshot that the
// query reads, each with the replicas that can serve it now. The package is pure:
// it does no I/O, starts no goroutines and reads no clock.
package plan

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Partition is one partition of a plan with its usable replicas.
type Partition struct {
	partition magnoliashore.Partition
	service   magnoliashore.Service
	targets   []magnoliashore.Target
	reason    magnoliashore.Reason
}

// PartitionID returns the id of the partition.
func (p Partition) PartitionID() magnoliashore.PartitionID { return p.partition.ID() }

// Service returns the table row of the partition's service, or a row that is
// switched off if the table has none.
func (p Partition) Service() magnoliashore.Service { return p.service }

// Targets returns the usable replicas in layout order. The caller must not change
// the slice.
func (p Partition) Targets() []magnoliashore.Target { return p.targets }

// Replicas returns the ids of all replicas, usable or not, in layout order. The
// caller must not change the slice.
func (p Partition) Replicas() []magnoliashore.TargetID { return p.partition.Targets() }

// Reason returns why there is no usable replica, or ReasonNone if there is one.
func (p Partition) Reason() magnoliashore.Reason { return p.reason }

// Plan is the work of one query on one snapshot. It has at least one partition.
type Plan struct {
	snapshot    magnoliashore.SnapshotID
	group       magnoliashore.GroupName
	class       magnoliashore.Class
	deadline    time.Time     // stated in the query; zero if none
	rowDeadline time.Duration // shortest row deadline
	atMostOnce  bool
	partitions  []Partition
}

// Snapshot returns the snapshot that every sub-request reads.
func (p Plan) Snapshot() magnoliashore.SnapshotID { return p.snapshot }

// Group returns the group that the query addresses.
func (p Plan) Group() magnoliashore.GroupName { return p.group }

// Partitions returns the partitions in snapshot order, including those without a
// usable replica. The caller must not change the slice.
func (p Plan) Partitions() []Partition { return p.partitions }

// Class returns the most urgent class among the services that are not switched
// off.
func (p Plan) Class() magnoliashore.Class { return p.class }

// AtMostOnce reports whether the query runs at most once.
func (p Plan) AtMostOnce() bool { return p.atMostOnce }

// Deadline returns the time by which the answer is due: the query's own deadline,
// or else now plus the shortest deadline in the rows of the services.
func (p Plan) Deadline(now time.Time) time.Time {
	if !p.deadline.IsZero() {
		return p.deadline
	}
	return now.Add(p.rowDeadline)
}

// Deadline returns the shortest row deadline among the named services of the
// group, or among all its services if none is named. It ignores services that
// are switched off and returns zero if no service is left.
func Deadline(view magnoliashore.View, group magnoliashore.GroupName, services []magnoliashore.ServiceName) time.Duration {
	var shortest time.Duration
	for _, row := range view.Table().Services() {
		if row.Off() || !wanted(row, group, services) {
			continue
		}
		if shortest == 0 || row.Deadline() < shortest {
			shortest = row.Deadline()
		}
	}
	return shortest
}
