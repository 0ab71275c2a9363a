package lease

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// grant is the promise of one grantor, with the end that the holder counts.
type grant struct {
	host  magnoliashore.HostID
	until time.Time
}

// hold is the holder's state for one key.
type hold struct {
	grants []grant
	until  time.Time // end of the lease; zero if the grants form no quorum
}

func (h *hold) clear() {
	h.grants = nil
	h.until = time.Time{}
}

// add stores a grant. It ignores an end that is earlier than the stored one.
func (h *hold) add(host magnoliashore.HostID, until time.Time) {
	i := slices.IndexFunc(h.grants, func(g grant) bool { return g.host == host })
	if i < 0 {
		h.grants = append(h.grants, grant{host: host, until: until})
		return
	}
	if until.After(h.grants[i].until) {
		h.grants[i].until = until
	}
}

// remove deletes the grant of host and reports whether there was one.
func (h *hold) remove(host magnoliashore.HostID) bool {
	before := len(h.grants)
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return g.host == host })
	return len(h.grants) < before
}

// computeEnd sets the end of the lease to the latest time until which the
// grants form a quorum. Unless self is the only seat, the quorum must include
// another host, so that a replaced process cannot keep a lease without contact
// with other hosts. ownVote turns this rule off.
func (h *hold) computeEnd(roster Roster, self magnoliashore.HostID, ownVote bool) {
	h.until = time.Time{}
	for _, g := range h.grants {
		if g.until.After(h.until) && h.hasQuorum(roster, self, ownVote, g.until) {
			h.until = g.until
		}
	}
}

func (h *hold) hasQuorum(roster Roster, self magnoliashore.HostID, ownVote bool, at time.Time) bool {
	otherVote := ownVote || roster.isOnlySeat(self)
	majority := roster.HasQuorum(func(host magnoliashore.HostID) bool {
		if !h.hasGrant(host, at) {
			return false
		}
		otherVote = otherVote || host != self
		return true
	})
	return majority && otherVote
}

// hasGrant reports whether the grant of host lasts until at or later.
func (h *hold) hasGrant(host magnoliashore.HostID, at time.Time) bool {
	for _, g := range h.grants {
		if g.host == host {
			return !g.until.Before(at)
		}
	}
	return false
}
