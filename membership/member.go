// Package membership finds the other hosts from a few seeds and watches them:
// each host probes the others in turn, asks others to probe one that does not
// answer, and passes on what changed with the probes. Protocol is the state machine;
// Node runs it over datagrams.
package membership

import (
	"github.com/magnoliashore/magnoliashore"
)

// State is what is believed of a host.
type State int

// The states, in the order in which a later one overrides an earlier one of
// the same incarnation.
const (
	Alive   State = iota // it answers, and callers may be sent to it
	Suspect              // it has not answered; it still counts as alive
	Leaving              // it still runs, and callers are not to be sent to it
	Dead                 // it is gone
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "leaving", "dead"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// MemberSpec holds the fields to build a Member from.
type MemberSpec struct {
	Host        magnoliashore.HostID
	Zone        magnoliashore.ZoneName
	Peer        string // ip:port for other hosts; it identifies the member
	Caller      string // ip:port for callers
	Incarnation magnoliashore.Incarnation
	State       State
	Cores       float64 // processor time that it has, in cores
}

// Member is what is believed of one host.
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

// Incarnation returns the incarnation that the belief is about.
func (m Member) Incarnation() magnoliashore.Incarnation { return m.spec.Incarnation }

// State returns what is believed.
func (m Member) State() State { return m.spec.State }

// Cores returns the processor time that the host has, in cores.
func (m Member) Cores() float64 { return m.spec.Cores }

// Runs reports whether the host is believed to run.
func (m Member) Runs() bool { return m.spec.State != Dead }

// Serves reports whether callers may be sent to the host.
func (m Member) Serves() bool { return m.spec.State == Alive || m.spec.State == Suspect }

// overrides reports whether m is newer than what is believed.
func (m Member) overrides(old Member) bool {
	if m.spec.Incarnation != old.spec.Incarnation {
		return m.spec.Incarnation > old.spec.Incarnation
	}
	return m.spec.State > old.spec.State
}

func (m Member) with(state State) Member {
	m.spec.State = state
	return m
}

// Kind is the kind of a message.
type Kind int

// The kinds of message.
const (
	Ping  Kind = iota + 1 // asks for an Ack
	Ack                   // answers a Ping, or a Probe once its target has answered
	Probe                 // asks the receiver to ping Message.Target
	Join                  // a Ping that asks for all members
)

// Message is one datagram between hosts.
type Message struct {
	Kind   Kind
	Number uint64 // joins an Ack to its Ping
	From   Member
	Target string // of a Probe: the ip:port to ping
	News   []Member
}

// Packet is a message and the ip:port to send it to.
type Packet struct {
	To      string
	Message Message
}
