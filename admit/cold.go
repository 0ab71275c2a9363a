package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// coldMargin is the share of a cold target's bound that the hosts hand out:
// within one second a host may use what it has saved up, and again as much.
const coldMargin = 0.5

// ColdLimit is what all hosts together may send to a cold target in one
// second: its stated rate times Overshoot, and Slack more.
type ColdLimit struct {
	Overshoot float64
	Slack     float64
}

// ColdLimiter keeps this host to its share of the requests that cold targets bear.
// It is not safe for concurrent use.
type ColdLimiter struct {
	Limit ColdLimit

	targets map[magnoliashore.TargetID]*coldTarget
}

// coldTarget is the share that is left of one target.
type coldTarget struct {
	tokens float64
	filled time.Time
}

// Sharing says how hosts share the rate of one target.
type Sharing struct {
	Hosts int // that share it
	Rank  int // of this host among them for the target, from zero
}

// Allows reports whether a request may go to a target that bears rate
// requests a second while it is cold. If that is less than one for each host,
// only those of the first ranks send.
func (c *ColdLimiter) Allows(now time.Time, id magnoliashore.TargetID, rate float64, sharing Sharing) bool {
	bound := coldMargin * (rate*c.Limit.Overshoot + c.Limit.Slack)
	senders := max(1, min(sharing.Hosts, int(bound)))
	if sharing.Rank >= senders {
		return false
	}
	return c.fill(now, id, bound/float64(senders)).tokens >= 1
}

// Take counts a request that was allowed.
func (c *ColdLimiter) Take(id magnoliashore.TargetID) {
	if t, ok := c.targets[id]; ok {
		t.tokens--
	}
}

// fill adds what a share of so many requests a second has earned since the
// last look.
func (c *ColdLimiter) fill(now time.Time, id magnoliashore.TargetID, share float64) *coldTarget {
	if c.targets == nil {
		c.targets = make(map[magnoliashore.TargetID]*coldTarget)
	}
	t, ok := c.targets[id]
	if !ok {
		t = &coldTarget{tokens: 1, filled: now}
		c.targets[id] = t
	}
	t.tokens = min(t.tokens+share*now.Sub(t.filled).Seconds(), max(share, 1))
	t.filled = now
	return t
}

// Retain forgets targets that are not known any more.
func (c *ColdLimiter) Retain(known func(id magnoliashore.TargetID) bool) {
	for id := range c.targets {
		if !known(id) {
			delete(c.targets, id)
		}
	}
}
