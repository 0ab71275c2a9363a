package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// coldRefillShare is the share of a cold target's limit that all token buckets
// together are refilled with per second. It is one half because within one
// second a host may spend a full bucket and the tokens of that second.
const coldRefillShare = 0.5

// ColdLimit bounds the requests that all hosts together send to a cold target
// in one second: the target's stated rate times Overshoot, plus Slack.
type ColdLimit struct {
	Overshoot float64
	Slack     float64 // requests per second
}

// ColdLimiter limits this host to its share of the request rate of each cold
// target, with one token bucket per target. It is not safe for concurrent use.
type ColdLimiter struct {
	Limit ColdLimit

	buckets map[magnoliashore.TargetID]*Bucket
}

// Sharing describes how hosts share the rate of one target.
type Sharing struct {
	Hosts int // number of hosts that share the rate
	Rank  int // position of this host among them, from zero
}

// Allows reports whether this host may send a request to a target whose stated
// rate while cold is rate requests per second. If there is less than one
// token per second for each host, only the hosts with the lowest ranks send.
func (c *ColdLimiter) Allows(now time.Time, id magnoliashore.TargetID, rate float64, sharing Sharing) bool {
	budget := coldRefillShare * (rate*c.Limit.Overshoot + c.Limit.Slack)
	senders := max(1, min(sharing.Hosts, int(budget)))
	if sharing.Rank >= senders {
		return false
	}
	return c.refill(now, id, budget/float64(senders)) >= 1
}

// Take spends a token for a request that Allows admitted.
func (c *ColdLimiter) Take(id magnoliashore.TargetID) {
	if t, ok := c.buckets[id]; ok {
		t.Take()
	}
}

// refill refills the target's bucket at share tokens per second and returns its
// tokens.
func (c *ColdLimiter) refill(now time.Time, id magnoliashore.TargetID, share float64) float64 {
	if c.buckets == nil {
		c.buckets = make(map[magnoliashore.TargetID]*Bucket)
	}
	b, ok := c.buckets[id]
	if !ok {
		b = &Bucket{}
		c.buckets[id] = b
	}
	return b.Refill(now, share, max(share, 1))
}

// Retain removes the buckets of targets for which known returns false.
func (c *ColdLimiter) Retain(known func(id magnoliashore.TargetID) bool) {
	for id := range c.buckets {
		if !known(id) {
			delete(c.buckets, id)
		}
	}
}
