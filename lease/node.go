package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Config holds the fields to build a Node from.
type Config struct {
	Self        magnoliashore.HostID
	Incarnation magnoliashore.Incarnation // above zero, higher than any earlier one of the seat
	Term        time.Duration             // how long a promise runs
	Margin      time.Duration             // covers the drift of two clocks during one Term; below Term
	Roster      Roster
}

// guards turns single safety rules off. Only tests set it.
type guards struct {
	noAbstention bool
	noMargin     bool
	fromReceipt  bool
	noViewCheck  bool
	noSettled    bool // recorders count whether settled or not
	ownVote      bool // a quorum may be the holder's own vote alone
}

// Node is one process of a cell as grantor and holder of leases. Its methods
// take the current time, which must be read after the message that they are
// given arrived, and must not go back.
type Node struct {
	cfg Config
	off guards

	known      map[magnoliashore.HostID]magnoliashore.Incarnation
	superseded bool

	recorders map[magnoliashore.HostID]recorder
	recorded  bool
	settled   time.Time // valid if recorded
	quiet     time.Time // grants nothing before; set by a roster change

	promises map[Key]promise
	heard    map[magnoliashore.HostID]heard

	sequence uint64
	rounds   []round
	holds    map[Key]*hold
	release  []Key
}

// New returns the node of a process that starts at now. It holds nothing and
// grants nothing yet.
func New(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:       cfg,
		known:     make(map[magnoliashore.HostID]magnoliashore.Incarnation),
		recorders: make(map[magnoliashore.HostID]recorder),
		promises:  make(map[Key]promise),
		heard:     make(map[magnoliashore.HostID]heard),
		holds:     make(map[Key]*hold),
	}
	n.known[cfg.Self] = cfg.Incarnation
	n.settle(now)
	return n
}

// SetRoster applies a roster. If it differs from the present one, the node
// drops its leases, keeps its promises and grants nothing for one Term and
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
	n.quiet = now.Add(n.cfg.Term + n.cfg.Margin)
	n.settle(now)
}

// Superseded reports whether a later process is known at this node's seat.
// The node then neither grants nor holds, for ever.
func (n *Node) Superseded() bool { return n.superseded }

// Ready reports whether the node grants at now.
func (n *Node) Ready(now time.Time) bool {
	if n.superseded {
		return false
	}
	if n.off.noAbstention {
		return true
	}
	return n.isSettled(now) && !now.Before(n.quiet)
}

// KnownIncarnation returns the highest incarnation seen at a seat; zero means none.
func (n *Node) KnownIncarnation(host magnoliashore.HostID) magnoliashore.Incarnation {
	return n.known[host]
}

// learn takes in that host has an incarnation. A rise voids what the older
// process granted or recorded.
func (n *Node) learn(host magnoliashore.HostID, incarnation magnoliashore.Incarnation) {
	if incarnation <= n.known[host] {
		return
	}
	n.known[host] = incarnation
	if host == n.cfg.Self {
		n.supersede()
		return
	}
	delete(n.recorders, host)
	if n.off.noViewCheck {
		return
	}
	for _, h := range n.holds {
		if h.void(host) {
			n.recount(h)
		}
	}
}

// recount sets the end of the lease after a change of its grants.
func (n *Node) recount(h *hold) {
	h.count(n.cfg.Roster, n.cfg.Self, n.off.ownVote)
}

func (n *Node) learnAll(view []HostIncarnation) {
	for _, s := range view {
		n.learn(s.Host, s.Incarnation)
	}
}

func (n *Node) supersede() {
	n.superseded = true
	n.rounds = nil
	n.release = nil
	clear(n.holds)
}

// seen returns every incarnation known, by host name.
func (n *Node) seen() []HostIncarnation {
	view := make([]HostIncarnation, 0, len(n.known))
	for host, incarnation := range n.known {
		view = append(view, HostIncarnation{Host: host, Incarnation: incarnation})
	}
	slices.SortFunc(view, func(a, b HostIncarnation) int { return cmp.Compare(a.Host, b.Host) })
	return view
}
