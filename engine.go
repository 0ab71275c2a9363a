package magnoliashore

import (
	"context"
	"time"
)

// Entry is one address that callers may use now.
type Entry struct {
	host        HostID
	incarnation Incarnation
	epoch       Epoch
	zone        ZoneName
	address     string
}

// NewEntry returns an entry; address is "ip:port" towards callers. The
// incarnation and epoch go into the tickets that a caller makes for the host.
func NewEntry(host HostID, incarnation Incarnation, epoch Epoch, zone ZoneName, address string) Entry {
	return Entry{host: host, incarnation: incarnation, epoch: epoch, zone: zone, address: address}
}

// Host returns the seat of the entry host.
func (e Entry) Host() HostID { return e.host }

// Incarnation returns the process at the seat.
func (e Entry) Incarnation() Incarnation { return e.incarnation }

// Epoch returns the ticket epoch to use.
func (e Entry) Epoch() Epoch { return e.epoch }

// Zone returns the availability zone of the entry host.
func (e Entry) Zone() ZoneName { return e.zone }

// Address returns the "ip:port" address towards callers.
func (e Entry) Address() string { return e.address }

// Entries is the answer to which addresses a caller may use.
type Entries struct {
	list []Entry
	keep time.Duration
}

// NewEntries returns the answer; list has the best entry first, and keep is
// how long the caller may use it.
func NewEntries(list []Entry, keep time.Duration) Entries {
	return Entries{list: list, keep: keep}
}

// List returns the entries, the best first.
func (e Entries) List() []Entry { return e.list }

// Keep returns how long the answer may be used.
func (e Entries) Keep() time.Duration { return e.keep }

// Engine answers callers. The package entry has the real one.
type Engine interface {
	// Query runs the query and returns its final answer. When ctx ends, the
	// work is cancelled.
	Query(ctx context.Context, query Query) Answer
	// Entries returns the addresses for a caller in zone; zone may be empty.
	Entries(zone ZoneName) Entries
	// Ready reports whether the host can answer queries.
	Ready() bool
	// Leaving reports whether the host is shutting down.
	Leaving() bool
}
