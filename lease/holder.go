package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// maxRounds is the number of rounds for which a node still counts late
// replies.
const maxRounds = 64

// round is a request of this node whose replies still count.
type round struct {
	sequence uint64
	start    time.Time
	view     []HostIncarnation
	keys     []Key // ascending
}

// SetWanted replaces the set of keys to hold. The lease on a key that is no
// longer wanted ends at once; its promises expire.
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

// Release stops wanting the keys and gives their promises back with the next
// request. The caller must have no cold work in flight under them.
func (n *Node) Release(_ time.Time, keys []Key) {
	if n.superseded {
		return
	}
	for _, key := range keys {
		if n.holds[key] == nil {
			continue
		}
		n.drop(key)
		n.pendingRelease = append(n.pendingRelease, key)
	}
}

// drop removes a key, also from the stored rounds, so that a late reply does
// not count after the promise was given back.
func (n *Node) drop(key Key) {
	delete(n.holds, key)
	for i := range n.rounds {
		n.rounds[i].keys = slices.DeleteFunc(n.rounds[i].keys, func(k Key) bool { return k == key })
	}
}

// NewRequest starts a round at now and returns the request to send to every
// other seat. The node's own vote counts at once.
func (n *Node) NewRequest(now time.Time) Request {
	n.sequence++
	request := Request{
		From:        n.cfg.Self,
		Incarnation: n.cfg.Incarnation,
		Sequence:    n.sequence,
		RosterHash:  n.cfg.Roster.Hash(),
		View:        n.rosterView(),
	}
	if n.superseded {
		return request
	}
	request.Keys = slices.Sorted(maps.Keys(n.holds))
	request.Release = n.takeReleases()
	n.startRound(now, request)
	n.grantSelf(now, request)
	return request
}

// takeReleases returns and clears the keys to give back, without those that
// are wanted again.
func (n *Node) takeReleases() []Key {
	keys := slices.DeleteFunc(n.pendingRelease, func(key Key) bool { return n.holds[key] != nil })
	n.pendingRelease = nil
	slices.Sort(keys)
	return slices.Compact(keys)
}

func (n *Node) startRound(now time.Time, request Request) {
	expired := func(r round) bool { return !now.Before(r.start.Add(n.cfg.Term)) }
	n.rounds = slices.DeleteFunc(n.rounds, expired)
	if len(n.rounds) == maxRounds {
		n.rounds = slices.Delete(n.rounds, 0, 1)
	}
	n.rounds = append(n.rounds, round{
		sequence: request.Sequence,
		start:    now,
		view:     request.View,
		keys:     slices.Clone(request.Keys),
	})
}

// grantSelf adds the node's own vote for each key of the request that it may
// promise.
func (n *Node) grantSelf(now time.Time, request Request) {
	n.applyRelease(request)
	if !n.Ready(now) {
		return
	}
	for _, key := range n.promiseAll(now, request) {
		n.addGrant(key, n.cfg.Self, n.grantEnd(now, now))
	}
}

// HandleReply processes a grantor's reply. It ignores a reply from the node's
// own seat and stores the incarnations in any other. The grants do not count
// if the round is no longer stored, the replying process was not in the
// round's view, or the reply is to another process at this seat.
func (n *Node) HandleReply(now time.Time, reply Reply) {
	if reply.From == n.cfg.Self {
		return
	}
	n.updateIncarnation(reply.From, reply.Incarnation)
	n.updateIncarnations(reply.View)
	if n.superseded || reply.Incarnation != n.incarnations[reply.From] {
		return
	}
	if !reply.Recorded || incarnationIn(reply.View, n.cfg.Self) != n.cfg.Incarnation {
		return
	}
	n.addRecorder(now, reply.From, reply.Settled)
	n.addGrants(now, reply)
}

// addGrants counts the grants of a reply for the keys that its round still
// contains.
func (n *Node) addGrants(now time.Time, reply Reply) {
	i := slices.IndexFunc(n.rounds, func(r round) bool { return r.sequence == reply.Sequence })
	if i < 0 {
		return
	}
	r := n.rounds[i]
	if !n.faults.noViewCheck && incarnationIn(r.view, reply.From) != reply.Incarnation {
		return
	}
	for _, key := range reply.Granted {
		if _, requested := slices.BinarySearch(r.keys, key); requested {
			n.addGrant(key, reply.From, n.grantEnd(r.start, now))
		}
	}
}

// grantEnd returns the end of a grant that was requested at start and received
// at received.
func (n *Node) grantEnd(start, received time.Time) time.Time {
	if n.faults.fromReceipt {
		start = received
	}
	if n.faults.noMargin {
		return start.Add(n.cfg.Term)
	}
	return start.Add(n.cfg.Term - n.cfg.Margin)
}

func (n *Node) addGrant(key Key, host magnoliashore.HostID, until time.Time) {
	h := n.holds[key]
	if h == nil {
		return
	}
	h.add(host, until)
	n.updateEnd(h)
}

// Until returns the end of this node's lease on key, and false if it has none
// at now.
func (n *Node) Until(now time.Time, key Key) (time.Time, bool) {
	h := n.holds[key]
	if h == nil || !now.Before(h.until) {
		return time.Time{}, false
	}
	return h.until, true
}

// rosterView returns the known incarnations of the roster's seats, in roster
// order.
func (n *Node) rosterView() []HostIncarnation {
	var view []HostIncarnation
	n.cfg.Roster.forEach(func(host magnoliashore.HostID) {
		if incarnation := n.incarnations[host]; incarnation > 0 {
			view = append(view, HostIncarnation{Host: host, Incarnation: incarnation})
		}
	})
	return view
}
