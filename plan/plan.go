// Package plan provides the plan of a query: the partitions of one snapshot
// that the query reads, each with the replicas that may serve it now. It is
// pure: it does no I/O, starts no goroutine and reads no clock.
package plan

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Partition is one partition of a plan.
type Partition struct {
	partition magnoliashore.Partition
	service   magnoliashore.Service
	targets   []magnoliashore.Target
	reason    magnoliashore.Reason
}

// PartitionID returns the partition to read.
func (p Partition) PartitionID() magnoliashore.PartitionID { return p.partition.ID() }

// Service returns the table row of the partition's service. A service without
// a row has one that is switched off.
func (p Partition) Service() magnoliashore.Service { return p.service }

// Targets returns the replicas that new work may go to, in layout order; it is
// empty if there are none. The caller must not change the slice.
func (p Partition) Targets() []magnoliashore.Target { return p.targets }

// Replicas returns the names of all replicas in layout order, usable or not.
// The caller must not change the slice.
func (p Partition) Replicas() []magnoliashore.TargetID { return p.partition.Targets() }

// Reason returns why there is no usable replica; ReasonNone if there is one.
func (p Partition) Reason() magnoliashore.Reason { return p.reason }

// Plan is the work of one query on one snapshot. It has at least one piece.
type Plan struct {
	snapshot magnoliashore.SnapshotID
	group    magnoliashore.GroupName
	class    magnoliashore.Class
	deadline time.Time
	allowed  time.Duration
	once     bool
	pieces   []Partition
}

// Snapshot returns the snapshot that every sub-request reads.
func (p Plan) Snapshot() magnoliashore.SnapshotID { return p.snapshot }

// Group returns the group that the query addresses.
func (p Plan) Group() magnoliashore.GroupName { return p.group }

// Partitions returns the partitions in snapshot order, those without a usable
// replica included. The caller must not change the slice.
func (p Plan) Partitions() []Partition { return p.pieces }

// Class returns the most urgent class among the services that are on.
func (p Plan) Class() magnoliashore.Class { return p.class }

// AtMostOnce reports whether the query runs at most once.
func (p Plan) AtMostOnce() bool { return p.once }

// Deadline returns when the answer is due: the deadline that the query
// states, or else now plus the smallest deadline of the services' rows.
func (p Plan) Deadline(now time.Time) time.Time {
	if !p.deadline.IsZero() {
		return p.deadline
	}
	return now.Add(p.allowed)
}

// Deadline returns the smallest row deadline of the named services of the
// group, or of all its services if none is named. Services that are off do
// not count. Zero means that no service matches.
func Deadline(view magnoliashore.View, group magnoliashore.GroupName, services []magnoliashore.ServiceName) time.Duration {
	var least time.Duration
	for _, row := range view.Table().Services() {
		if row.Off() || !wanted(row, group, services) {
			continue
		}
		if least == 0 || row.Deadline() < least {
			least = row.Deadline()
		}
	}
	return least
}
