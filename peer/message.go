package peer

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

// KeyVersion is the version of a configuration key that a host uses.
type KeyVersion struct {
	Key     string
	Version magnoliashore.Version
}

// Info is the state of an entry host, sent with each heartbeat and reply.
type Info struct {
	Host        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
	Epoch       magnoliashore.Epoch // ticket epoch for callers
	Order       uint64              // logical clock of the event log
	Leaving     bool
	Ready       bool          // has a configuration and serves callers
	Queries     int           // queries in flight
	Versions    []KeyVersion  // configuration in force
	ReadAge     time.Duration // time since this host itself read the platform; negative if it never did
	HostsHash   uint64        // hash of the list of live and leaving hosts
	HostsAge    time.Duration // time since any host read that list; negative if none did
}

// Heartbeat carries the state of a host and its lease request. It is sent to
// every other seat of the cell once per period.
type Heartbeat struct {
	Info    Info
	Request lease.Request
}

// HeartbeatReply carries the state of a host and its reply to the lease request of
// a Heartbeat.
type HeartbeatReply struct {
	Info  Info
	Reply lease.Reply
}

// Batch carries the sub-requests of one query to the owner of their targets.
type Batch struct {
	Order uint64 // logical clock of the sender
	Subs  []magnoliashore.Sub
}

// Answers carries final answers to the coordinator of the queries.
type Answers struct {
	Order uint64 // logical clock of the sender
	List  []magnoliashore.SubAnswer
}

// Cancel cancels sub-requests whose answers are no longer needed.
type Cancel struct{ IDs []uint64 }

// Fetch requests the configuration values that are newer than Versions and, if
// Hosts is set, the host list.
type Fetch struct {
	Versions []KeyVersion
	Hosts    bool
}

// Values answers a Fetch. Hosts is nil unless it was requested.
type Values struct {
	List     []magnoliashore.Value
	Hosts    *magnoliashore.HostList
	HostsAge time.Duration
}

// Forward sends a query to the entry host that its ticket names.
type Forward struct {
	ID    uint64
	Query magnoliashore.Query
}

// Forwarded answers a Forward.
type Forwarded struct {
	ID     uint64
	Answer magnoliashore.Answer
}
