package magnoliashore

import "time"

// EventCode numbers the kinds of event. docs/EVENTS.md is the catalogue.
type EventCode int

// EventSpec holds the fields to build an Event from.
type EventSpec struct {
	Code   EventCode
	Host   HostID
	Query  QueryID
	Target TargetID
	Peer   string // the other side, as a name or address
	Detail string // a short sentence, lower case
}

// Event is one entry of a time line.
type Event struct {
	spec  EventSpec
	at    time.Time
	order uint64
}

// NewEvent returns the event that spec describes. The event log stamps it.
func NewEvent(spec EventSpec) Event { return Event{spec: spec} }

// Stamp returns a copy with the wall clock time and the logical clock reading
// at which the event happened.
func (e Event) Stamp(at time.Time, order uint64) Event {
	e.at = at
	e.order = order
	return e
}

// Code returns the event's number.
func (e Event) Code() EventCode { return e.spec.Code }

// Host returns the entry host at which the event happened.
func (e Event) Host() HostID { return e.spec.Host }

// Query returns the query concerned; empty if none.
func (e Event) Query() QueryID { return e.spec.Query }

// Target returns the target concerned; empty if none.
func (e Event) Target() TargetID { return e.spec.Target }

// Peer returns the other side concerned; empty if none.
func (e Event) Peer() string { return e.spec.Peer }

// Detail returns a short sentence about the event.
func (e Event) Detail() string { return e.spec.Detail }

// At returns the wall clock time at the host.
func (e Event) At() time.Time { return e.at }

// Order returns the host's logical clock. A cause has a lower reading than
// its effect, also across hosts whose wall clocks disagree.
func (e Event) Order() uint64 { return e.order }
