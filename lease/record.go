package lease

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// recorder is a process at another seat that has recorded this node's
// incarnation.
type recorder struct {
	settled          bool // according to its latest reply
	initiallySettled bool // according to its first reply
}

// addRecorder stores that the process at host has recorded this node's
// incarnation.
func (n *Node) addRecorder(now time.Time, host magnoliashore.HostID, settled bool) {
	if n.recorded {
		return
	}
	previous, exists := n.recorders[host]
	initiallySettled := settled
	if exists {
		initiallySettled = previous.initiallySettled
	}
	n.recorders[host] = recorder{settled: settled, initiallySettled: initiallySettled}
	n.startSettling(now)
}

// startSettling starts the wait for Term plus Margin once enough other seats
// have recorded this node's incarnation.
func (n *Node) startSettling(now time.Time) {
	if n.recorded || !n.hasEnoughRecorders() {
		return
	}
	n.recorded = true
	n.settledAt = now.Add(n.cfg.Term + n.cfg.Margin)
}

func (n *Node) isSettled(now time.Time) bool {
	return n.recorded && !now.Before(n.settledAt)
}

func (n *Node) hasEnoughRecorders() bool {
	r := n.cfg.Roster
	if len(r.seats) == 0 || !n.enoughRecorders(r.seats) {
		return false
	}
	return len(r.former) == 0 || n.enoughRecorders(r.former)
}

// enoughRecorders reports whether the recorders among seats rule out every
// quorum that would count the older process at this seat. A recorder that has
// not settled may itself have replaced a process that still runs. Such
// recorders count only if all other seats have recorded the incarnation, or if
// no recorder had settled when it first did, which is how a whole cell starts.
func (n *Node) enoughRecorders(seats []magnoliashore.HostID) bool {
	if n.recordedByAllOthers(seats) {
		return true
	}
	if n.cfg.Roster.majority(seats, n.recordedBySettled) {
		return true
	}
	return (n.faults.countUnsettled || !n.anyInitiallySettled()) && n.cfg.Roster.majority(seats, n.recordedBy)
}

func (n *Node) recordedByAllOthers(seats []magnoliashore.HostID) bool {
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

func (n *Node) anyInitiallySettled() bool {
	for _, r := range n.recorders {
		if r.initiallySettled {
			return true
		}
	}
	return false
}
