package owner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

// lowered divides the limit for a host without a lease.
const lowered = 4

// Leased is the ownership by placement and lease. It is safe for concurrent
// use. The caller must hold Lock for every other use of Leases, and must keep
// wanting the leases of all targets that the host owns, warm ones included,
// since the lease also gives the full share.
type Leased struct {
	Self   magnoliashore.HostID
	Leases *lease.Node
	Lock   sync.Locker // guards Leases

	views atomic.Pointer[views]
}

// views are the placement in force and the one before.
type views struct {
	present Placement
	former  Placement
}

var _ magnoliashore.Ownership = (*Leased)(nil)

// Set applies a placement. Only one goroutine may call it.
func (l *Leased) Set(placement Placement) {
	l.views.Store(&views{present: placement, former: l.load().present})
}

func (l *Leased) load() views {
	v := l.views.Load()
	if v == nil {
		return views{}
	}
	return *v
}

// Owner returns the host that owns the target in the placement in force.
func (l *Leased) Owner(target magnoliashore.TargetID) (magnoliashore.HostID, bool) {
	return l.load().present.Owner(target)
}

// Standbys returns the standbys of the target in the placement in force.
func (l *Leased) Standbys(target magnoliashore.TargetID) []magnoliashore.HostID {
	return l.load().present.Standbys(target)
}

// Until returns the end of this host's lease on the target; false means that
// it has none at now.
func (l *Leased) Until(now time.Time, target magnoliashore.TargetID) (time.Time, bool) {
	l.Lock.Lock()
	defer l.Lock.Unlock()
	return l.Leases.Until(now, lease.KeyOf(target))
}

// Share returns how many requests this host may run at once on the target:
// limit with a lease on a target it owns; the lowered share, a quarter of
// limit but at least 1, for an owner without a lease, a standby, and the
// owner of the placement before; 0 for any other host, and where limit is not
// positive. The lowered share is for warm work.
//
// One process at most holds the lease, so where the hosts agree on the
// placement the sum over a cell is at most limit and three lowered shares (two
// standbys, one former owner). Where views differ, each other host may take
// one lowered share: in a cell of n hosts the sum is at most limit plus n-1
// lowered shares.
func (l *Leased) Share(now time.Time, target magnoliashore.TargetID, limit int) int {
	if limit <= 0 {
		return 0
	}
	v := l.load()
	owner, _ := v.present.Owner(target)
	former, _ := v.former.Owner(target)
	if owner == l.Self {
		if _, ok := l.Until(now, target); ok {
			return limit
		}
		return max(1, limit/lowered)
	}
	if former == l.Self || slices.Contains(v.present.Standbys(target), l.Self) {
		return max(1, limit/lowered)
	}
	return 0
}
