package operator

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// StatusSpec holds the fields to build a Status from.
type StatusSpec struct {
	Host        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
	Table       magnoliashore.Version // version of the operators' table in force
	Layout      magnoliashore.Version // version of the layout in force
	Seats       []SeatStatus
	Leases      []LeaseStatus
}

// Status is the state of one entry host, served at PathStatus.
type Status struct{ spec StatusSpec }

// NewStatus returns the status that spec describes.
func NewStatus(spec StatusSpec) Status { return Status{spec: spec} }

// Host returns the seat of the entry host.
func (s Status) Host() magnoliashore.HostID { return s.spec.Host }

// Incarnation returns the incarnation of the host's process.
func (s Status) Incarnation() magnoliashore.Incarnation { return s.spec.Incarnation }

// Table returns the version of the operators' table in force.
func (s Status) Table() magnoliashore.Version { return s.spec.Table }

// Layout returns the version of the layout in force.
func (s Status) Layout() magnoliashore.Version { return s.spec.Layout }

// Seats returns the seats of the cell.
func (s Status) Seats() []SeatStatus { return s.spec.Seats }

// Leases returns the leases that the host holds.
func (s Status) Leases() []LeaseStatus { return s.spec.Leases }

// SeatStatus is the state of one seat from the point of view of an entry host.
type SeatStatus struct {
	host        magnoliashore.HostID
	incarnation magnoliashore.Incarnation
	reached     bool
}

// NewSeatStatus returns the state of a seat. A zero incarnation means that no
// process at the seat is known.
func NewSeatStatus(host magnoliashore.HostID, incarnation magnoliashore.Incarnation, reached bool) SeatStatus {
	return SeatStatus{host: host, incarnation: incarnation, reached: reached}
}

// Host returns the seat.
func (s SeatStatus) Host() magnoliashore.HostID { return s.host }

// Incarnation returns the incarnation of the last known process at the seat.
func (s SeatStatus) Incarnation() magnoliashore.Incarnation { return s.incarnation }

// Reached reports whether the seat is reachable.
func (s SeatStatus) Reached() bool { return s.reached }

// LeaseStatus is a lease that an entry host holds.
type LeaseStatus struct {
	target    magnoliashore.TargetID
	remaining time.Duration
}

// NewLeaseStatus returns a lease on a target with its remaining time.
func NewLeaseStatus(target magnoliashore.TargetID, remaining time.Duration) LeaseStatus {
	return LeaseStatus{target: target, remaining: remaining}
}

// Target returns the leased target.
func (l LeaseStatus) Target() magnoliashore.TargetID { return l.target }

// Remaining returns the time until the lease expires.
func (l LeaseStatus) Remaining() time.Duration { return l.remaining }
