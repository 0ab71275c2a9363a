package quota

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// maxIssued is the most targets whose rates one issuer leases.
const maxIssued = 4096

// Issuer leases the rates of the targets that this host is the issuer of. It is
// not safe for concurrent use.
type Issuer struct {
	targets map[magnoliashore.TargetID]*issued
}

// issued holds the leases of one target.
type issued struct {
	since  time.Time // of the first report
	leases map[string]lease
}

// lease is what one host has, and what it has asked for.
type lease struct {
	demand float64
	share  float64
	until  time.Time
}

// Grant decides on the share of a host that reports its demand. All shares
// together never exceed what is leasable. An issuer that has just succeeded another
// host does not know its leases, so for their term it renews what hosts have, and leases
// only as much else as hosts without a lease use.
func (i *Issuer) Grant(now time.Time, host string, r Report, sharing Sharing) (Grant, bool) {
	t := i.issued(now, r.Target)
	if t == nil {
		return Grant{}, false
	}
	term := sharing.term()
	demand, others := r.Demand, 0.0
	for other, l := range t.leases {
		switch {
		case !now.Before(l.until):
			delete(t.leases, other)
		case other != host:
			demand += l.demand
			others += l.share
		}
	}
	leasable, held := sharing.leasable(r.Rate), 0.0
	if sharing.Stable < term && now.Sub(t.since) < term {
		if r.Left > 0 {
			held = min(r.Share, leasable)
		}
		leasable = min(leasable, unleasedShare*r.Rate)
	}
	share := max(min(leasable*r.Demand/demand, leasable-others), held)
	t.leases[host] = lease{demand: r.Demand, share: share, until: now.Add(term)}
	return Grant{Target: r.Target, Share: share, Term: term}, true
}

// issued returns the leases of a target, or nil if there are too many targets.
func (i *Issuer) issued(now time.Time, id magnoliashore.TargetID) *issued {
	if i.targets == nil {
		i.targets = make(map[magnoliashore.TargetID]*issued)
	}
	t, ok := i.targets[id]
	if ok {
		return t
	}
	if len(i.targets) >= maxIssued {
		return nil
	}
	t = &issued{since: now, leases: make(map[string]lease)}
	i.targets[id] = t
	return t
}

// Expire drops the targets without a lease.
func (i *Issuer) Expire(now time.Time) {
	for id, t := range i.targets {
		for host, l := range t.leases {
			if !now.Before(l.until) {
				delete(t.leases, host)
			}
		}
		if len(t.leases) == 0 {
			delete(i.targets, id)
		}
	}
}
