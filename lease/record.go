package lease

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// recorder is a process at another seat that keeps this node's incarnation.
type recorder struct {
	settled bool // now
	elder   bool // it had settled when it first recorded the incarnation
}

// record takes in that the process at host has recorded this incarnation.
func (n *Node) record(now time.Time, host magnoliashore.HostID, settled bool) {
	if n.recorded {
		return
	}
	old, met := n.recorders[host]
	elder := settled
	if met {
		elder = old.elder
	}
	n.recorders[host] = recorder{settled: settled, elder: elder}
	n.settle(now)
}

// settle starts the waiting time once enough other seats have recorded the
// incarnation.
func (n *Node) settle(now time.Time) {
	if n.recorded || !n.enough() {
		return
	}
	n.recorded = true
	n.settled = now.Add(n.cfg.Term + n.cfg.Margin)
}

func (n *Node) isSettled(now time.Time) bool {
	return n.recorded && !now.Before(n.settled)
}

func (n *Node) enough() bool {
	r := n.cfg.Roster
	if len(r.seats) == 0 || !n.enoughOf(r.seats) {
		return false
	}
	return len(r.former) == 0 || n.enoughOf(r.former)
}

// enoughOf reports whether the recorders among seats bar every quorum that
// would count the older process at this seat. Recorders that have not settled
// may themselves have replaced a process that still runs, so they count only
// if all other seats have recorded, or if no settled process was met, which
// is how a whole cell starts.
func (n *Node) enoughOf(seats []magnoliashore.HostID) bool {
	if n.allOthers(seats) {
		return true
	}
	if n.cfg.Roster.majority(seats, n.recordedBySettled) {
		return true
	}
	return (n.off.noSettled || !n.metElder()) && n.cfg.Roster.majority(seats, n.recordedBy)
}

func (n *Node) allOthers(seats []magnoliashore.HostID) bool {
	for _, host := range seats {
		if host != n.cfg.Self && !n.recordedBy(host) {
			return false
		}
	}
	return true
}

func (n *Node) recordedBy(host magnoliashore.HostID) bool {
	_, ok := n.recorders[host]
	return ok
}

func (n *Node) recordedBySettled(host magnoliashore.HostID) bool {
	return n.recorders[host].settled
}

func (n *Node) metElder() bool {
	for _, r := range n.recorders {
		if r.elder {
			return true
		}
	}
	return false
}
