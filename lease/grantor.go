package lease

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// promise says for which process a grantor keeps a key, and until when.
type promise struct {
	host        magnoliashore.HostID
	incarnation magnoliashore.Incarnation
	until       time.Time
}

// heard is the latest ask of a seat.
type heard struct {
	incarnation magnoliashore.Incarnation
	sequence    uint64
}

// HandleRequest takes in a holder's ask that was received at now and returns the
// reply. A refused ask gets a reply that grants nothing; its View tells the
// asker what it does not know yet.
func (n *Node) HandleRequest(now time.Time, ask Request) Reply {
	n.learn(ask.From, ask.Incarnation)
	n.learnAll(ask.View)
	reply := Reply{
		From:        n.cfg.Self,
		Incarnation: n.cfg.Incarnation,
		Sequence:    ask.Sequence,
		View:        n.seen(),
		Settled:     !n.superseded && n.isSettled(now),
	}
	if !n.accept(ask) {
		return reply
	}
	n.takeBack(ask)
	if ask.RosterHash != n.cfg.Roster.Hash() {
		return reply
	}
	reply.Recorded = true
	if !n.Ready(now) || !n.current(ask.View) {
		return reply
	}
	reply.Granted = n.promiseAll(now, ask)
	return reply
}

// accept reports whether the ask is the newest of the newest process at
// another seat.
func (n *Node) accept(ask Request) bool {
	if n.superseded || ask.From == n.cfg.Self {
		return false
	}
	if ask.Incarnation < n.known[ask.From] {
		return false
	}
	last := n.heard[ask.From]
	if last.incarnation == ask.Incarnation && ask.Sequence < last.sequence {
		return false
	}
	n.heard[ask.From] = heard{incarnation: ask.Incarnation, sequence: ask.Sequence}
	return true
}

// current reports whether no seat in view is known to have a later process.
func (n *Node) current(view []HostIncarnation) bool {
	if n.off.noViewCheck {
		return true
	}
	for _, s := range view {
		if s.Incarnation < n.known[s.Host] {
			return false
		}
	}
	return true
}

func (n *Node) takeBack(ask Request) {
	for _, key := range ask.Release {
		p := n.promises[key]
		if p.host == ask.From && p.incarnation == ask.Incarnation {
			delete(n.promises, key)
		}
	}
}

func (n *Node) promiseAll(now time.Time, ask Request) []Key {
	n.expire(now)
	var granted []Key
	for _, key := range ask.Keys {
		if n.promise(now, key, ask.From, ask.Incarnation) {
			granted = append(granted, key)
		}
	}
	return granted
}

// promise gives the key to a process for one Term, unless it is promised to
// another.
func (n *Node) promise(now time.Time, key Key, host magnoliashore.HostID, incarnation magnoliashore.Incarnation) bool {
	old, ok := n.promises[key]
	same := old.host == host && old.incarnation == incarnation
	if ok && !same && now.Before(old.until) {
		return false
	}
	n.promises[key] = promise{host: host, incarnation: incarnation, until: now.Add(n.cfg.Term)}
	return true
}

func (n *Node) expire(now time.Time) {
	for key, p := range n.promises {
		if !now.Before(p.until) {
			delete(n.promises, key)
		}
	}
}
