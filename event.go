package magnoliashore

import "time"

// EventCode identifies a kind of event. docs/EVENTS.md lists all of them.
type EventCode int

// EventSpec holds the fields to build an Event from.
type EventSpec struct {
	Code   EventCode
	Host   HostID
	Query  QueryID
	Target TargetID
	Peer   string // name or address of the remote peer
	Detail string // short description in lower case
}

// Event is a recorded event of an entry host.
type Event struct {
	spec  EventSpec
	at    time.Time
	order uint64
}

// NewEvent returns the event that spec describes. event.Log adds the time.
func NewEvent(spec EventSpec) Event { return Event{spec: spec} }

// Stamp returns a copy with the wall clock and logical clock readings at which
// the event happened.
func (e Event) Stamp(at time.Time, order uint64) Event {
	e.at = at
	e.order = order
	return e
}

// Code returns the kind of event.
func (e Event) Code() EventCode { return e.spec.Code }

// Host returns the entry host at which the event happened.
func (e Event) Host() HostID { return e.spec.Host }

// Query returns the query that the event is about; empty if none.
func (e Event) Query() QueryID { return e.spec.Query }

// Target returns the target that the event is about; empty if none.
func (e Event) Target() TargetID { return e.spec.Target }

// Peer returns the name or address of the remote peer; empty if none.
func (e Event) Peer() string { return e.spec.Peer }

// Detail returns a short description of the event.
func (e Event) Detail() string { return e.spec.Detail }

// At returns the wall clock time of the host.
func (e Event) At() time.Time { return e.at }

// Order returns the reading of the host's logical clock. A cause has a lower
// reading than its effect, even if the wall clocks of their hosts differ.
func (e Event) Order() uint64 { return e.order }
