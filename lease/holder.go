package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// maxRounds is how many asks a node remembers to count late replies for.
const maxRounds = 64

// round is one ask of this node.
type round struct {
	sequence uint64
	start    time.Time
	view     []HostIncarnation
	keys     []Key // ascending
}

// SetWanted replaces the set of keys to hold. A key that is no longer wanted has
// no lease at once; its promises run out by themselves.
func (n *Node) SetWanted(_ time.Time, keys []Key) {
	if n.superseded {
		return
	}
	for key := range n.holds {
		if !slices.Contains(keys, key) {
			n.drop(key)
		}
	}
	for _, key := range keys {
		if n.holds[key] == nil {
			n.holds[key] = &hold{}
		}
	}
}

// Release gives the promises of keys back with the next ask, and stops
// wanting them. The caller must have no cold work in flight under them.
func (n *Node) Release(_ time.Time, keys []Key) {
	if n.superseded {
		return
	}
	for _, key := range keys {
		if n.holds[key] == nil {
			continue
		}
		n.drop(key)
		n.release = append(n.release, key)
	}
}

// drop forgets a key, also in the rounds under way, so that a late reply does
// not count after the promise was given back.
func (n *Node) drop(key Key) {
	delete(n.holds, key)
	for i := range n.rounds {
		n.rounds[i].keys = slices.DeleteFunc(n.rounds[i].keys, func(k Key) bool { return k == key })
	}
}

// NewRequest begins a round at now and returns the message for every other seat. The
// node's own vote is counted at once.
func (n *Node) NewRequest(now time.Time) Request {
	n.sequence++
	ask := Request{
		From:        n.cfg.Self,
		Incarnation: n.cfg.Incarnation,
		Sequence:    n.sequence,
		RosterHash:  n.cfg.Roster.Hash(),
		View:        n.view(),
	}
	if n.superseded {
		return ask
	}
	ask.Keys = slices.Sorted(maps.Keys(n.holds))
	ask.Release = n.given()
	n.begin(now, ask)
	n.voteSelf(now, ask)
	return ask
}

// given returns the keys to give back. One that is wanted again is kept.
func (n *Node) given() []Key {
	keys := slices.DeleteFunc(n.release, func(key Key) bool { return n.holds[key] != nil })
	n.release = nil
	slices.Sort(keys)
	return slices.Compact(keys)
}

func (n *Node) begin(now time.Time, ask Request) {
	late := func(r round) bool { return !now.Before(r.start.Add(n.cfg.Term)) }
	n.rounds = slices.DeleteFunc(n.rounds, late)
	if len(n.rounds) == maxRounds {
		n.rounds = slices.Delete(n.rounds, 0, 1)
	}
	n.rounds = append(n.rounds, round{
		sequence: ask.Sequence,
		start:    now,
		view:     ask.View,
		keys:     slices.Clone(ask.Keys),
	})
}

func (n *Node) voteSelf(now time.Time, ask Request) {
	n.takeBack(ask)
	if !n.Ready(now) {
		return
	}
	for _, key := range n.promiseAll(now, ask) {
		n.grant(key, n.cfg.Self, n.end(now, now))
	}
}

// HandleReply takes in a grantor's reply. A reply to a round that is forgotten, from
// a process that was not in the round's view, or to another process at this
// seat counts for nothing but the incarnations it tells.
func (n *Node) HandleReply(now time.Time, reply Reply) {
	if reply.From == n.cfg.Self {
		return
	}
	n.learn(reply.From, reply.Incarnation)
	n.learnAll(reply.View)
	if n.superseded || reply.Incarnation != n.known[reply.From] {
		return
	}
	if !reply.Recorded || incarnationIn(reply.View, n.cfg.Self) != n.cfg.Incarnation {
		return
	}
	n.record(now, reply.From, reply.Settled)
	n.count(now, reply)
}

func (n *Node) count(now time.Time, reply Reply) {
	i := slices.IndexFunc(n.rounds, func(r round) bool { return r.sequence == reply.Sequence })
	if i < 0 {
		return
	}
	r := n.rounds[i]
	if !n.off.noViewCheck && incarnationIn(r.view, reply.From) != reply.Incarnation {
		return
	}
	for _, key := range reply.Granted {
		if _, asked := slices.BinarySearch(r.keys, key); asked {
			n.grant(key, reply.From, n.end(r.start, now))
		}
	}
}

// end returns until when a grant counts that was asked for at start and
// received at received.
func (n *Node) end(start, received time.Time) time.Time {
	if n.off.fromReceipt {
		start = received
	}
	if n.off.noMargin {
		return start.Add(n.cfg.Term)
	}
	return start.Add(n.cfg.Term - n.cfg.Margin)
}

func (n *Node) grant(key Key, host magnoliashore.HostID, until time.Time) {
	h := n.holds[key]
	if h == nil {
		return
	}
	h.put(host, until)
	n.recount(h)
}

// Until returns the end of this node's lease on key; false means that it has
// none at now.
func (n *Node) Until(now time.Time, key Key) (time.Time, bool) {
	h := n.holds[key]
	if h == nil || !now.Before(h.until) {
		return time.Time{}, false
	}
	return h.until, true
}

// view returns the known incarnations of the roster's seats, in its order.
func (n *Node) view() []HostIncarnation {
	var view []HostIncarnation
	n.cfg.Roster.each(func(host magnoliashore.HostID) {
		if incarnation := n.known[host]; incarnation > 0 {
			view = append(view, HostIncarnation{Host: host, Incarnation: incarnation})
		}
	})
	return view
}
