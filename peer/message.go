package peer

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

// KeyVersion is the version of one configuration key that a host has in force.
type KeyVersion struct {
	Key     string
	Version magnoliashore.Version
}

// Info is what an entry host says of itself with each heartbeat and reply.
type Info struct {
	Host        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
	Epoch       magnoliashore.Epoch // ticket epoch for callers
	Order       uint64              // logical clock of the event log
	Leaving     bool
	Ready       bool // has a configuration and serves callers
	Queries     int  // queries in flight
	Versions    []KeyVersion
	ReadAge     time.Duration // since this host itself read the platform; negative if it never did
	HostsHash   uint64        // of the list of live and leaving hosts
	HostsAge    time.Duration // since that list was read by anyone; negative if never
}

// Heartbeat is sent once a period to every other seat of the cell.
type Heartbeat struct {
	Info Info
	Ask  lease.Request
}

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	Info  Info
	Reply lease.Reply
}

// Batch carries the sub-requests of one query to the owner of their targets.
type Batch struct {
	Order uint64
	Subs  []magnoliashore.Sub
}

// Answers carries final answers back to the root of the queries.
type Answers struct {
	Order uint64
	List  []magnoliashore.SubAnswer
}

// Cancel withdraws sub-requests whose answers are no longer wanted.
type Cancel struct{ IDs []uint64 }

// Fetch asks a peer for configuration values above the versions given, and
// for the host list.
type Fetch struct {
	Versions []KeyVersion
	Hosts    bool
}

// Values answers a Fetch. Hosts is nil unless it was asked for.
type Values struct {
	List     []magnoliashore.Value
	Hosts    *magnoliashore.HostList
	HostsAge time.Duration
}

// Forward passes a query to the entry host that its ticket names.
type Forward struct {
	ID    uint64
	Query magnoliashore.Query
}

// Forwarded answers a Forward.
type Forwarded struct {
	ID     uint64
	Answer magnoliashore.Answer
}
