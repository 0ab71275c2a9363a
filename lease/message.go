package lease

import (
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
)

// Key identifies a target that can be leased: the low 32 bits of the xxhash of
// its name. Two targets with the same key share one promise.
type Key uint32

// KeyOf returns the key of a target.
func KeyOf(id magnoliashore.TargetID) Key {
	return Key(xxhash.Sum64String(string(id)))
}

// HostIncarnation is the highest incarnation of a seat that a node knows.
type HostIncarnation struct {
	Host        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
}

// Request asks the grantors of a cell for promises. Every grantor gets the
// same request.
type Request struct {
	From        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
	Sequence    uint64            // increases with every request of one incarnation
	RosterHash  uint64            // hash of the holder's roster
	View        []HostIncarnation // incarnations whose grants the holder counts, in roster order
	Keys        []Key             // keys to promise, ascending
	Release     []Key             // keys whose promises are given back, ascending
}

// Reply is a grantor's reply to a Request.
type Reply struct {
	From        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation
	Sequence    uint64            // sequence of the request
	View        []HostIncarnation // highest incarnations known to the grantor, sorted by host
	Granted     []Key             // keys promised to the holder, ascending
	Recorded    bool              // whether the grantor recorded the holder's incarnation
	Settled     bool              // whether the grantor has settled
}

func incarnationIn(view []HostIncarnation, host magnoliashore.HostID) magnoliashore.Incarnation {
	for _, s := range view {
		if s.Host == host {
			return s.Incarnation
		}
	}
	return 0
}
