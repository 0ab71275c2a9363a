package lease

import (
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
)

// Key names what a lease is held on: the low 32 bits of the xxhash of the
// target name. A clash makes two targets share one promise.
type Key uint32

// KeyOf returns the key of a target.
func KeyOf(id magnoliashore.TargetID) Key {
	return Key(xxhash.Sum64String(string(id)))
}

// HostIncarnation is the highest incarnation that a host has seen at a seat.
type HostIncarnation struct {
	Host        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
}

// Request is one holder's message to every grantor of its cell. It is the same
// for all of them.
type Request struct {
	From        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
	Sequence    uint64            // rises with every ask of one incarnation
	RosterHash  uint64            // Roster.Hash of the asker
	View        []HostIncarnation // incarnations whose grants the asker counts, in roster order
	Keys        []Key             // keys to promise, ascending
	Release     []Key             // keys whose promise is given back, ascending
}

// Reply is a grantor's answer to one Request.
type Reply struct {
	From        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
	Sequence    uint64            // of the ask
	View        []HostIncarnation // highest incarnations that the grantor knows, by host name
	Granted     []Key             // keys promised to the asker, ascending
	Recorded    bool              // the grantor keeps the asker's incarnation as its seat's highest
	Settled     bool              // the grantor has settled: recorded, and Term and Margin passed since
}

func incarnationIn(view []HostIncarnation, host magnoliashore.HostID) magnoliashore.Incarnation {
	for _, s := range view {
		if s.Host == host {
			return s.Incarnation
		}
	}
	return 0
}
