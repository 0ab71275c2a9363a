package owner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

// reducedDivisor divides the limit of a host without a lease.
const reducedDivisor = 4

// Leased is the ownership by placement and lease. It is safe for concurrent
// use. The caller must hold Lock for every other use of Leases, and must keep
// wanting the leases of all targets that the host owns. This includes warm
// targets, since the full share requires the lease.
type Leased struct {
	Self   magnoliashore.HostID
	Leases *lease.Node
	Lock   sync.Locker // guards Leases

	placements atomic.Pointer[placements]
}

// placements holds the current placement and the previous one.
type placements struct {
	current  Placement
	previous Placement
}

var _ magnoliashore.Ownership = (*Leased)(nil)

// Set applies a placement. Only one goroutine may call it.
func (l *Leased) Set(placement Placement) {
	l.placements.Store(&placements{current: placement, previous: l.load().current})
}

func (l *Leased) load() placements {
	v := l.placements.Load()
	if v == nil {
		return placements{}
	}
	return *v
}

// Owner returns the host that owns the target in the current placement.
func (l *Leased) Owner(target magnoliashore.TargetID) (magnoliashore.HostID, bool) {
	return l.load().current.Owner(target)
}

// Standbys returns the standbys of the target in the current placement.
func (l *Leased) Standbys(target magnoliashore.TargetID) []magnoliashore.HostID {
	return l.load().current.Standbys(target)
}

// Until returns the end of this host's lease on the target, and false if it
// has none at now.
func (l *Leased) Until(now time.Time, target magnoliashore.TargetID) (time.Time, bool) {
	l.Lock.Lock()
	defer l.Lock.Unlock()
	return l.Leases.Until(now, lease.KeyOf(target))
}

// Share returns how many concurrent requests this host may send to the target.
// With a lease on a target that it owns, the share is limit. An owner without
// a lease, a standby and the owner in the previous placement have a reduced
// share for warm work: a quarter of limit, but at least 1. The share is 0 for
// any other host, and if limit is not positive.
//
// At most one process holds the lease. If the hosts agree on the placement,
// the shares in a cell add up to at most limit plus three reduced shares (two
// standbys and a previous owner). If placements differ between hosts, each
// other host may have one reduced share, so the shares in a cell of n hosts
// add up to at most limit plus n-1 reduced shares.
func (l *Leased) Share(now time.Time, target magnoliashore.TargetID, limit int) int {
	if limit <= 0 {
		return 0
	}
	v := l.load()
	owner, _ := v.current.Owner(target)
	previousOwner, _ := v.previous.Owner(target)
	if owner == l.Self {
		if _, ok := l.Until(now, target); ok {
			return limit
		}
		return max(1, limit/reducedDivisor)
	}
	if previousOwner == l.Self || slices.Contains(v.current.Standbys(target), l.Self) {
		return max(1, limit/reducedDivisor)
	}
	return 0
}
