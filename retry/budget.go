// Package retry decides how many requests may be sent to a service beyond the
// first of each: hedges, and repeats after a failure. All hosts share the
// limit; each keeps to the share of it that its own requests give.
package retry

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	steps  = 20  // of one window
	margin = 0.9 // of the limit that is used: hosts see requests a little before the targets do
)

// Limit is what all hosts together may send in any window of time.
type Limit struct {
	Ratio  float64       // of extra sends to requests
	Slack  int           // extra sends beside the ratio
	Window time.Duration // zero for no limit
}

// Budget keeps this host to its share. It is not safe for concurrent use.
type Budget struct {
	Limit Limit
	Hosts int // that share the slack

	services map[magnoliashore.ServiceName]*counts
}

// counts holds the requests and extra sends of two windows, by step.
type counts struct {
	requests [2 * steps]int
	extra    [2 * steps]int
	at       int64 // the newest step
}

// Request counts the first send of a request to a service.
func (b *Budget) Request(now time.Time, service magnoliashore.ServiceName) {
	c := b.counts(now, service)
	c.requests[c.at%(2*steps)]++
}

// Take reports whether one more extra send fits, and counts it if so.
func (b *Budget) Take(now time.Time, service magnoliashore.ServiceName) bool {
	if b.Limit.Window <= 0 {
		return true
	}
	c := b.counts(now, service)
	if c.sum(&c.extra, steps+1) >= b.allowed(c) {
		return false
	}
	c.extra[c.at%(2*steps)]++
	return true
}

func (b *Budget) allowed(c *counts) int {
	own := b.Limit.Ratio * float64(c.sum(&c.requests, steps-1))
	return int(margin * (own + float64(b.Limit.Slack)/float64(max(b.Hosts, 1))))
}

// sum adds up the newest steps. The newest one is not over yet, so a step more
// than a window covers every window that ends now, and a step less is covered
// by each.
func (c *counts) sum(of *[2 * steps]int, newest int64) int {
	total := 0
	for i := range newest {
		if at := c.at - i; at >= 0 {
			total += of[at%(2*steps)]
		}
	}
	return total
}

// counts returns the counts of a service, advanced to now.
func (b *Budget) counts(now time.Time, service magnoliashore.ServiceName) *counts {
	if b.services == nil {
		b.services = make(map[magnoliashore.ServiceName]*counts)
	}
	step := max(b.Limit.Window/steps, time.Millisecond)
	at := now.UnixNano() / int64(step)
	c, ok := b.services[service]
	if !ok {
		c = &counts{at: at}
		b.services[service] = c
	}
	if at-c.at >= 2*steps {
		*c = counts{at: at}
	}
	for c.at < at {
		c.at++
		c.requests[c.at%(2*steps)] = 0
		c.extra[c.at%(2*steps)] = 0
	}
	return c
}
