package entry

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// loadLife is how long an owner's report of a target's load is believed.
const loadLife = 500 * time.Millisecond

// loads keeps what owners report of their targets, and what this host has
// sent to each and not yet heard of.
type loads struct {
	clock magnoliashore.Clock

	mu   sync.Mutex
	list map[magnoliashore.TargetID]*reported
}

type reported struct {
	load magnoliashore.Load
	at   time.Time
	sent int
}

func newLoads(clock magnoliashore.Clock) *loads {
	return &loads{clock: clock, list: make(map[magnoliashore.TargetID]*reported)}
}

func (l *loads) entry(id magnoliashore.TargetID) *reported {
	r, ok := l.list[id]
	if !ok {
		r = &reported{}
		l.list[id] = r
	}
	return r
}

// sent counts a sub-request that goes out.
func (l *loads) sent(id magnoliashore.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).sent++
}

// settled counts a sub-request that was answered or withdrawn.
func (l *loads) settled(id magnoliashore.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).sent--
}

// learn keeps a report.
func (l *loads) learn(id magnoliashore.TargetID, load magnoliashore.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.entry(id)
	r.load = load
	r.at = l.clock.Now()
}

// fill puts what is known of the candidate's target into it.
func (l *loads) fill(c *magnoliashore.Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.list[c.Target]
	if !ok {
		return
	}
	c.Load = r.load
	c.Sent = r.sent
	c.Known = !r.at.IsZero() && l.clock.Now().Sub(r.at) < loadLife
}
