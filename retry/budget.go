// Package retry limits the extra attempts, hedges and retries, that are sent to
// a service. The limit holds for all hosts together; each host uses the share of
// it that its own requests and the number of hosts allow.
package retry

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	// Number of steps into which one window is divided.
	windowSteps = 20
	// Fraction of the limit that is used. The rest is a margin, since hosts count
	// requests a little before the targets do.
	usedShare = 0.9
)

// Limit bounds the extra attempts of all hosts together in any window of time:
// Ratio per request, plus Slack.
type Limit struct {
	Ratio  float64       // extra attempts per request
	Slack  int           // extra attempts allowed in addition to the ratio
	Window time.Duration // length of the window; zero for no limit
}

// Budget enforces the share of one host in a Limit. It is not safe for
// concurrent use.
type Budget struct {
	Limit Limit
	Hosts int // number of hosts that share the slack
	// Started is the start of the process; zero if no other ran before it. The former
	// process may have used up the slack just before its end.
	Started time.Time

	services map[magnoliashore.ServiceName]*counters
}

// counters is a ring of the requests and extra attempts of the last two windows,
// by step.
type counters struct {
	requests [2 * windowSteps]int
	extra    [2 * windowSteps]int
	newest   int64 // number of the newest step since the Unix epoch
}

// CountRequest counts the first attempt of a request to a service.
func (b *Budget) CountRequest(now time.Time, service magnoliashore.ServiceName) {
	c := b.current(now, service)
	c.requests[c.newest%(2*windowSteps)]++
}

// Take reports whether one more extra attempt is within the budget, and counts it
// if so.
func (b *Budget) Take(now time.Time, service magnoliashore.ServiceName) bool {
	if b.Limit.Window <= 0 {
		return true
	}
	c := b.current(now, service)
	if c.sum(&c.extra, windowSteps+1) >= b.allowed(now, c) {
		return false
	}
	c.extra[c.newest%(2*windowSteps)]++
	return true
}

// allowed returns how many extra attempts this host may have in one window.
func (b *Budget) allowed(now time.Time, c *counters) int {
	earned := b.Limit.Ratio * float64(c.sum(&c.requests, windowSteps-1))
	return int(usedShare * (earned + b.slack(now)))
}

// slack returns this host's share of the slack: none until a window has passed since
// the start of the process.
func (b *Budget) slack(now time.Time) float64 {
	if now.Sub(b.Started) < b.Limit.Window {
		return 0
	}
	return float64(b.Limit.Slack) / float64(max(b.Hosts, 1))
}

// sum adds up the newest steps. The newest step is still incomplete, so one step
// more than a window covers every window that ends within it, and one step less
// lies inside each of them. Counting extra attempts over the former and requests
// over the latter keeps the limit in every window.
func (c *counters) sum(ring *[2 * windowSteps]int, n int64) int {
	total := 0
	for i := range n {
		if at := c.newest - i; at >= 0 {
			total += ring[at%(2*windowSteps)]
		}
	}
	return total
}

// current returns the counters of a service, advanced to now.
func (b *Budget) current(now time.Time, service magnoliashore.ServiceName) *counters {
	if b.services == nil {
		b.services = make(map[magnoliashore.ServiceName]*counters)
	}
	stepLength := max(b.Limit.Window/windowSteps, time.Millisecond)
	newest := now.UnixNano() / int64(stepLength)
	c, ok := b.services[service]
	if !ok {
		c = &counters{newest: newest}
		b.services[service] = c
	}
	if newest-c.newest >= 2*windowSteps {
		*c = counters{newest: newest}
	}
	for c.newest < newest {
		c.newest++
		c.requests[c.newest%(2*windowSteps)] = 0
		c.extra[c.newest%(2*windowSteps)] = 0
	}
	return c
}
