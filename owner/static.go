package owner

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// staticTerm is how long the right to send cold work lasts, counted from each
// call of Until.
const staticTerm = time.Hour

// Static is the baseline ownership: every live host sends requests to every
// target itself, within a fixed share of each limit. It is safe for concurrent
// use. The shares add up to at most the limit only while all hosts agree on
// the members.
type Static struct {
	Self magnoliashore.HostID
	// ColdLimit returns the limit of concurrent requests to a cold target. If it
	// is nil, the limit is 1 for every target.
	ColdLimit func(magnoliashore.TargetID) int

	members atomic.Pointer[[]Member]
}

var _ magnoliashore.Ownership = (*Static)(nil)

// Set applies the live members, which include this host.
func (s *Static) Set(live []Member) {
	members := unique(live)
	s.members.Store(&members)
}

// Owner returns this host.
func (s *Static) Owner(magnoliashore.TargetID) (magnoliashore.HostID, bool) {
	return s.Self, true
}

// Standbys returns none.
func (s *Static) Standbys(magnoliashore.TargetID) []magnoliashore.HostID { return nil }

// Until returns an hour from now if this host has a share of the target's cold
// limit, and false otherwise.
func (s *Static) Until(now time.Time, target magnoliashore.TargetID) (time.Time, bool) {
	if s.Share(now, target, s.coldLimit(target)) == 0 {
		return time.Time{}, false
	}
	return now.Add(staticTerm), true
}

func (s *Static) coldLimit(target magnoliashore.TargetID) int {
	if s.ColdLimit == nil {
		return 1
	}
	return s.ColdLimit(target)
}

// Share returns this host's share of limit: limit divided by the number of
// members, rounded down. If there are more members than limit, it is 1 for the
// first members in the order of the rendezvous hash and 0 for the others. The
// share of a host that is not a member is 0.
func (s *Static) Share(_ time.Time, target magnoliashore.TargetID, limit int) int {
	members := s.members.Load()
	if members == nil || limit <= 0 {
		return 0
	}
	self := func(m Member) bool { return m.Host == s.Self }
	if !slices.ContainsFunc(*members, self) {
		return 0
	}
	if limit >= len(*members) {
		return limit / len(*members)
	}
	if slices.IndexFunc(ranked(target, *members), self) < limit {
		return 1
	}
	return 0
}
