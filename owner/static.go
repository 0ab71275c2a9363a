package owner

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// staticTerm is how long a host's static right to cold work lasts from now.
const staticTerm = time.Hour

// Static is the baseline ownership: every live host sends to every target
// itself, with a fixed part of each limit. It is safe for concurrent use. Its
// shares add up to no more than the limit only while all hosts agree on the
// members.
type Static struct {
	Self magnoliashore.HostID
	// Cold returns the cold limit of a target in requests at once. Nil means
	// 1 for every target.
	Cold func(magnoliashore.TargetID) int

	members atomic.Pointer[[]Member]
}

var _ magnoliashore.Ownership = (*Static)(nil)

// Set applies the live members, this host included.
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

// Until returns an hour from now if this host has a part of the target's cold
// limit, and false otherwise.
func (s *Static) Until(now time.Time, target magnoliashore.TargetID) (time.Time, bool) {
	if s.Share(now, target, s.cold(target)) == 0 {
		return time.Time{}, false
	}
	return now.Add(staticTerm), true
}

func (s *Static) cold(target magnoliashore.TargetID) int {
	if s.Cold == nil {
		return 1
	}
	return s.Cold(target)
}

// Share returns this host's part of limit: limit divided by the number of
// members, rounded down, or, where there are more members than limit, 1 for
// the first ones by rank and 0 for the others. A host that is not a member
// has 0.
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
