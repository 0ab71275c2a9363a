package lease

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// promise reserves a key for one process.
type promise struct {
	host        magnoliashore.HostID
	incarnation magnoliashore.Incarnation
	until       time.Time
}

// latestRequest identifies the newest request accepted from a seat.
type latestRequest struct {
	incarnation magnoliashore.Incarnation
	sequence    uint64
}

// HandleRequest processes a holder's request received at now and returns the
// reply. The reply to a refused request grants nothing, but its View gives the
// holder the incarnations that it lacks.
func (n *Node) HandleRequest(now time.Time, request Request) Reply {
	n.updateIncarnation(request.From, request.Incarnation)
	n.updateIncarnations(request.View)
	reply := Reply{
		From:        n.cfg.Self,
		Incarnation: n.cfg.Incarnation,
		Sequence:    request.Sequence,
		View:        n.fullView(),
		Settled:     !n.superseded && n.isSettled(now),
	}
	if !n.accept(request) {
		return reply
	}
	n.applyRelease(request)
	if request.RosterHash != n.cfg.Roster.Hash() {
		return reply
	}
	reply.Recorded = true
	if !n.Ready(now) || !n.viewIsCurrent(request.View) {
		return reply
	}
	reply.Granted = n.promiseAll(now, request)
	return reply
}

// accept reports whether the request comes from another seat and is not older
// than the newest request from there, and then records it. A superseded node
// accepts no requests.
func (n *Node) accept(request Request) bool {
	if n.superseded || request.From == n.cfg.Self {
		return false
	}
	if request.Incarnation < n.incarnations[request.From] {
		return false
	}
	last := n.latestRequests[request.From]
	if last.incarnation == request.Incarnation && request.Sequence < last.sequence {
		return false
	}
	n.latestRequests[request.From] = latestRequest{incarnation: request.Incarnation, sequence: request.Sequence}
	return true
}

// viewIsCurrent reports whether no host in view has a higher known
// incarnation.
func (n *Node) viewIsCurrent(view []HostIncarnation) bool {
	if n.faults.noViewCheck {
		return true
	}
	for _, s := range view {
		if s.Incarnation < n.incarnations[s.Host] {
			return false
		}
	}
	return true
}

// applyRelease deletes the promises that the requesting process gives back.
func (n *Node) applyRelease(request Request) {
	for _, key := range request.Release {
		p := n.promises[key]
		if p.host == request.From && p.incarnation == request.Incarnation {
			delete(n.promises, key)
		}
	}
}

func (n *Node) promiseAll(now time.Time, request Request) []Key {
	n.expirePromises(now)
	var granted []Key
	for _, key := range request.Keys {
		if n.promise(now, key, request.From, request.Incarnation) {
			granted = append(granted, key)
		}
	}
	return granted
}

// promise reserves the key for a process for one Term. It returns false while
// the key is promised to another process.
func (n *Node) promise(now time.Time, key Key, host magnoliashore.HostID, incarnation magnoliashore.Incarnation) bool {
	current, ok := n.promises[key]
	sameProcess := current.host == host && current.incarnation == incarnation
	if ok && !sameProcess && now.Before(current.until) {
		return false
	}
	n.promises[key] = promise{host: host, incarnation: incarnation, until: now.Add(n.cfg.Term)}
	return true
}

func (n *Node) expirePromises(now time.Time) {
	for key, p := range n.promises {
		if !now.Before(p.until) {
			delete(n.promises, key)
		}
	}
}
