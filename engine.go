package magnoliashore

import (
	"context"
	"time"
)

// Entry is an entry host that callers can currently use.
type Entry struct {
	host        HostID
	incarnation Incarnation
	epoch       Epoch
	zone        ZoneName
	address     string
}

// NewEntry returns an entry; address is the "ip:port" address for callers.
// Callers put the incarnation and epoch into the tickets for the host.
func NewEntry(host HostID, incarnation Incarnation, epoch Epoch, zone ZoneName, address string) Entry {
	return Entry{host: host, incarnation: incarnation, epoch: epoch, zone: zone, address: address}
}

// Host returns the ID of the entry host's seat.
func (e Entry) Host() HostID { return e.host }

// Incarnation returns the incarnation of the process that holds the seat.
func (e Entry) Incarnation() Incarnation { return e.incarnation }

// Epoch returns the epoch for new tickets.
func (e Entry) Epoch() Epoch { return e.epoch }

// Zone returns the availability zone of the entry host.
func (e Entry) Zone() ZoneName { return e.zone }

// Address returns the "ip:port" address for callers.
func (e Entry) Address() string { return e.address }

// Entries lists the entry hosts that a caller can use.
type Entries struct {
	list []Entry
	ttl  time.Duration
}

// NewEntries returns the list, which has the preferred entry first and may be
// cached for the duration ttl.
func NewEntries(list []Entry, ttl time.Duration) Entries {
	return Entries{list: list, ttl: ttl}
}

// List returns the entries in order of preference.
func (e Entries) List() []Entry { return e.list }

// Keep returns how long a caller may cache the list.
func (e Entries) Keep() time.Duration { return e.ttl }

// Engine answers the requests of callers. entry.Host implements it.
type Engine interface {
	// Query runs the query and returns its final answer. It cancels the query
	// when ctx ends.
	Query(ctx context.Context, query Query) Answer
	// Entries returns the entry hosts for a caller in zone, which may be empty.
	Entries(zone ZoneName) Entries
	// Ready reports whether the host can answer queries.
	Ready() bool
	// Leaving reports whether the host is shutting down.
	Leaving() bool
}
