package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// NamedLimit is a limit that a target names in its answers: the requests per
// second that it takes from all hosts together.
type NamedLimit struct {
	rate  float64
	since time.Time // when this limit was first named
	heard time.Time // when an answer last confirmed it
	ended time.Time // when it ended; zero while it holds
}

// Rate returns the requests per second.
func (l NamedLimit) Rate() float64 { return l.rate }

// Since returns when the limit was first named.
func (l NamedLimit) Since() time.Time { return l.since }

// Heard returns when an answer last confirmed the limit.
func (l NamedLimit) Heard() time.Time { return l.heard }

// LimitChange says how an answer changed what is known of a target's limit.
type LimitChange int

// The changes.
const (
	LimitUnchanged LimitChange = iota
	LimitBegan
	LimitMoved // to another rate
	LimitEnded
)

// String returns the change as a log message.
func (c LimitChange) String() string {
	return [...]string{"limit of a target unchanged", "target names a limit", "target names another limit", "limit of a target has ended"}[c]
}

// NamedLimits keeps the limits that targets name. It is not safe for concurrent
// use.
type NamedLimits struct {
	limits map[magnoliashore.TargetID]*NamedLimit
}

// Observe records an answer that names rate as the limit, or none if named is
// false. sent is when its request was sent. An answer that names no limit ends
// one only if its request was sent after the limit was last confirmed, and an
// answer to a request from before the end of a limit does not bring it back:
// answers may overtake each other.
func (n *NamedLimits) Observe(now, sent time.Time, id magnoliashore.TargetID, rate float64, named bool) LimitChange {
	l, known := n.limits[id]
	switch {
	case !named && (!known || !l.ended.IsZero() || !sent.After(l.heard)):
		return LimitUnchanged
	case !named:
		l.ended = now
		return LimitEnded
	case known && !l.ended.IsZero() && !sent.After(l.ended):
		return LimitUnchanged
	case known && l.ended.IsZero():
		change := LimitUnchanged
		if l.rate != rate {
			change = LimitMoved
		}
		l.rate, l.heard = rate, now
		return change
	}
	if n.limits == nil {
		n.limits = make(map[magnoliashore.TargetID]*NamedLimit)
	}
	n.limits[id] = &NamedLimit{rate: rate, since: now, heard: now}
	return LimitBegan
}

// Limit returns the limit that a target names at present, or false if it names
// none.
func (n *NamedLimits) Limit(id magnoliashore.TargetID) (NamedLimit, bool) {
	l, ok := n.limits[id]
	if !ok || !l.ended.IsZero() {
		return NamedLimit{}, false
	}
	return *l, true
}

// Retain removes the limits of targets for which known returns false.
func (n *NamedLimits) Retain(known func(id magnoliashore.TargetID) bool) {
	for id := range n.limits {
		if !known(id) {
			delete(n.limits, id)
		}
	}
}
