package lease

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// grant is one grantor's promise as the holder counts it.
type grant struct {
	host  magnoliashore.HostID
	until time.Time
}

// hold is a holder's state of one key.
type hold struct {
	grants []grant
	until  time.Time // end of the lease; zero if the grants form no quorum
}

func (h *hold) clear() {
	h.grants = nil
	h.until = time.Time{}
}

// put takes in a grant; an earlier end than the one known does not count.
func (h *hold) put(host magnoliashore.HostID, until time.Time) {
	i := slices.IndexFunc(h.grants, func(g grant) bool { return g.host == host })
	if i < 0 {
		h.grants = append(h.grants, grant{host: host, until: until})
		return
	}
	if until.After(h.grants[i].until) {
		h.grants[i].until = until
	}
}

// void drops the grant of host and reports whether there was one.
func (h *hold) void(host magnoliashore.HostID) bool {
	before := len(h.grants)
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return g.host == host })
	return len(h.grants) < before
}

// count sets the end of the lease: the latest time at which grants that still
// run form a quorum. Where self is not the only seat, its vote alone is none,
// so that a replaced process cannot go on without hearing from any other.
func (h *hold) count(roster Roster, self magnoliashore.HostID, ownVote bool) {
	h.until = time.Time{}
	for _, g := range h.grants {
		if g.until.After(h.until) && h.quorum(roster, self, ownVote, g.until) {
			h.until = g.until
		}
	}
}

func (h *hold) quorum(roster Roster, self magnoliashore.HostID, ownVote bool, at time.Time) bool {
	other := ownVote || roster.alone(self)
	met := roster.Met(func(host magnoliashore.HostID) bool {
		if !h.runs(host, at) {
			return false
		}
		other = other || host != self
		return true
	})
	return met && other
}

// runs reports whether the grant of host runs until at or later.
func (h *hold) runs(host magnoliashore.HostID, at time.Time) bool {
	for _, g := range h.grants {
		if g.host == host {
			return !g.until.Before(at)
		}
	}
	return false
}
