package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Config configures a Node.
type Config struct {
	Self        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation // positive, higher than any earlier one of the seat
	Term        time.Duration             // duration of a promise
	Margin      time.Duration             // allowance for the drift between two clocks during one Term; less than Term
	Roster      Roster
}

// faults disables single safety rules. Only tests set it.
type faults struct {
	noAbstention   bool // grant before having settled
	noMargin       bool // do not shorten grants by Margin
	fromReceipt    bool // count grants from the receipt of the reply
	noViewCheck    bool // accept views and grants of replaced processes
	countUnsettled bool // always count recorders that have not settled
	ownVoteAlone   bool // accept a quorum of the holder's own vote alone
}

// Node is one process of a cell, as grantor and holder of leases. The times
// passed to its methods must not decrease. A time passed together with a
// message must have been read after the message arrived.
type Node struct {
	cfg    Config
	faults faults

	incarnations map[magnoliashore.HostID]magnoliashore.Incarnation // highest known ones
	superseded   bool

	recorders   map[magnoliashore.HostID]recorder
	recorded    bool      // enough other seats have recorded this incarnation
	settledAt   time.Time // valid if recorded
	grantsAfter time.Time // no grants before; set by a roster change

	promises       map[Key]promise
	latestRequests map[magnoliashore.HostID]latestRequest

	sequence       uint64
	rounds         []round
	holds          map[Key]*hold
	pendingRelease []Key
}

// New returns the node of a process started at now. It has no leases and
// grants nothing yet.
func New(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:            cfg,
		incarnations:   make(map[magnoliashore.HostID]magnoliashore.Incarnation),
		recorders:      make(map[magnoliashore.HostID]recorder),
		promises:       make(map[Key]promise),
		latestRequests: make(map[magnoliashore.HostID]latestRequest),
		holds:          make(map[Key]*hold),
	}
	n.incarnations[cfg.Self] = cfg.Incarnation
	n.startSettling(now)
	return n
}

// SetRoster applies a roster. If it differs from the current one, the node
// drops its leases, keeps its promises and grants nothing for one Term plus
// Margin.
func (n *Node) SetRoster(now time.Time, roster Roster) {
	if roster.Hash() == n.cfg.Roster.Hash() {
		return
	}
	n.cfg.Roster = roster
	n.rounds = nil
	for _, h := range n.holds {
		h.clear()
	}
	n.grantsAfter = now.Add(n.cfg.Term + n.cfg.Margin)
	n.startSettling(now)
}

// Superseded reports whether a later process at this node's seat is known.
// From then on the node neither grants nor holds leases.
func (n *Node) Superseded() bool { return n.superseded }

// Ready reports whether the node grants at now.
func (n *Node) Ready(now time.Time) bool {
	if n.superseded {
		return false
	}
	if n.faults.noAbstention {
		return true
	}
	return n.isSettled(now) && !now.Before(n.grantsAfter)
}

// KnownIncarnation returns the highest known incarnation of a seat, or zero if
// there is none.
func (n *Node) KnownIncarnation(host magnoliashore.HostID) magnoliashore.Incarnation {
	return n.incarnations[host]
}

// updateIncarnation stores an incarnation of host if it is higher than the
// known one. It then discards what the older process granted or recorded.
func (n *Node) updateIncarnation(host magnoliashore.HostID, incarnation magnoliashore.Incarnation) {
	if incarnation <= n.incarnations[host] {
		return
	}
	n.incarnations[host] = incarnation
	if host == n.cfg.Self {
		n.supersede()
		return
	}
	delete(n.recorders, host)
	if n.faults.noViewCheck {
		return
	}
	for _, h := range n.holds {
		if h.remove(host) {
			n.updateEnd(h)
		}
	}
}

// updateEnd recomputes the end of a lease after its grants have changed.
func (n *Node) updateEnd(h *hold) {
	h.computeEnd(n.cfg.Roster, n.cfg.Self, n.faults.ownVoteAlone)
}

func (n *Node) updateIncarnations(view []HostIncarnation) {
	for _, s := range view {
		n.updateIncarnation(s.Host, s.Incarnation)
	}
}

func (n *Node) supersede() {
	n.superseded = true
	n.rounds = nil
	n.pendingRelease = nil
	clear(n.holds)
}

// fullView returns all known incarnations, sorted by host.
func (n *Node) fullView() []HostIncarnation {
	view := make([]HostIncarnation, 0, len(n.incarnations))
	for host, incarnation := range n.incarnations {
		view = append(view, HostIncarnation{Host: host, Incarnation: incarnation})
	}
	slices.SortFunc(view, func(a, b HostIncarnation) int { return cmp.Compare(a.Host, b.Host) })
	return view
}
