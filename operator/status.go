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

// Status is the state of one entry host for its page /status.
type Status struct{ spec StatusSpec }

// NewStatus returns the status that spec describes.
func NewStatus(spec StatusSpec) Status { return Status{spec: spec} }

// Host returns the seat of the entry host.
func (s Status) Host() magnoliashore.HostID { return s.spec.Host }

// Incarnation returns the process at the seat.
func (s Status) Incarnation() magnoliashore.Incarnation { return s.spec.Incarnation }

// Table returns the version of the operators' table in force.
func (s Status) Table() magnoliashore.Version { return s.spec.Table }

// Layout returns the version of the layout in force.
func (s Status) Layout() magnoliashore.Version { return s.spec.Layout }

// Seats returns the seats of the cell.
func (s Status) Seats() []SeatStatus { return s.spec.Seats }

// Leases returns the leases that the host holds.
func (s Status) Leases() []LeaseStatus { return s.spec.Leases }

// SeatStatus is one seat as an entry host sees it.
type SeatStatus struct {
	host        magnoliashore.HostID
	incarnation magnoliashore.Incarnation
	reached     bool
}

// NewSeatStatus returns a seat's state; a zero incarnation means that no
// process of the seat has been heard of.
func NewSeatStatus(host magnoliashore.HostID, incarnation magnoliashore.Incarnation, reached bool) SeatStatus {
	return SeatStatus{host: host, incarnation: incarnation, reached: reached}
}

// Host returns the seat.
func (s SeatStatus) Host() magnoliashore.HostID { return s.host }

// Incarnation returns the process last heard of at the seat.
func (s SeatStatus) Incarnation() magnoliashore.Incarnation { return s.incarnation }

// Reached reports whether the seat is reached now.
func (s SeatStatus) Reached() bool { return s.reached }

// LeaseStatus is a lease that an entry host holds.
type LeaseStatus struct {
	target magnoliashore.TargetID
	left   time.Duration
}

// NewLeaseStatus returns a lease on a target with the time left of it.
func NewLeaseStatus(target magnoliashore.TargetID, left time.Duration) LeaseStatus {
	return LeaseStatus{target: target, left: left}
}

// Target returns the target that the lease is on.
func (l LeaseStatus) Target() magnoliashore.TargetID { return l.target }

// Left returns the time left of the lease.
func (l LeaseStatus) Left() time.Duration { return l.left }
