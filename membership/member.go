// Package membership discovers the other hosts from a few seeds and detects
// failures: each host probes the others in turn, asks other hosts to probe one
// that does not answer, and gossips changes with the probes. Protocol is the
// state machine; Node runs it over UDP.
package membership

import (
	"github.com/magnoliashore/magnoliashore"
)

// State is the state of a host as seen by this one.
type State int

// The states. For the same incarnation, a later one overrides an earlier one.
const (
	Alive   State = iota // answers probes and accepts callers
	Suspect              // did not answer a probe; still treated as alive
	Leaving              // runs but accepts no more callers
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "leaving", "dead"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// MemberSpec holds the fields of a Member.
type MemberSpec struct {
	Host        magnoliashore.HostID
	Zone        magnoliashore.ZoneName
	Peer        string // ip:port for other hosts; it identifies the member
	Caller      string // ip:port for callers
	Incarnation magnoliashore.Incarnation
	State       State
	Cores       float64 // available processor time
	Cut         bool    // does not reach the targets of its availability zone, or any
}

// Member describes one host.
type Member struct {
	spec MemberSpec
}

// NewMember returns the member that spec describes.
func NewMember(spec MemberSpec) Member { return Member{spec: spec} }

// Host returns the name of the host.
func (m Member) Host() magnoliashore.HostID { return m.spec.Host }

// Zone returns its availability zone.
func (m Member) Zone() magnoliashore.ZoneName { return m.spec.Zone }

// Peer returns its ip:port for other hosts.
func (m Member) Peer() string { return m.spec.Peer }

// Caller returns its ip:port for callers.
func (m Member) Caller() string { return m.spec.Caller }

// Incarnation returns the incarnation that the state applies to.
func (m Member) Incarnation() magnoliashore.Incarnation { return m.spec.Incarnation }

// State returns the state of the host.
func (m Member) State() State { return m.spec.State }

// Cores returns the available processor time of the host, in cores.
func (m Member) Cores() float64 { return m.spec.Cores }

// Cut reports whether the host has found that it does not reach the targets of its
// availability zone, or any.
func (m Member) Cut() bool { return m.spec.Cut }

// Runs reports whether the host is not dead.
func (m Member) Runs() bool { return m.spec.State != Dead }

// Serves reports whether the host accepts callers.
func (m Member) Serves() bool { return m.spec.State == Alive || m.spec.State == Suspect }

// overrides reports whether m is newer than old.
func (m Member) overrides(old Member) bool {
	if m.spec.Incarnation != old.spec.Incarnation {
		return m.spec.Incarnation > old.spec.Incarnation
	}
	return m.spec.State > old.spec.State
}

func (m Member) withState(state State) Member {
	m.spec.State = state
	return m
}

// Kind is the type of a message.
type Kind int

// The kinds of messages.
const (
	Ping  Kind = iota + 1 // requests an Ack
	Ack                   // answers a Ping, or a Probe after its target has answered; also carries updates alone
	Probe                 // requests that the receiver ping Message.Target
	Join                  // a Ping that also requests the list of members
)

// Message is one datagram between hosts.
type Message struct {
	Kind    Kind
	Number  uint64 // matches an Ack to its Ping; zero in an Ack that only carries updates
	From    Member
	Target  string // of a Probe: the ip:port to ping
	Updates []Member
}

// Packet is a message with the ip:port to send it to.
type Packet struct {
	To      string
	Message Message
}
