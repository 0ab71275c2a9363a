package entry

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// loadMaxAge is the age from which an owner's load report is ignored.
const loadMaxAge = 500 * time.Millisecond

// loads holds, for each target, the last load report of its owner and the number
// of sub-requests that this host has in flight to it.
type loads struct {
	clock magnoliashore.Clock

	mu   sync.Mutex
	list map[magnoliashore.TargetID]*targetLoad
}

// targetLoad is the load of one target as this host sees it.
type targetLoad struct {
	load     magnoliashore.Load
	at       time.Time // when the report arrived
	inFlight int
}

func newLoads(clock magnoliashore.Clock) *loads {
	return &loads{clock: clock, list: make(map[magnoliashore.TargetID]*targetLoad)}
}

func (l *loads) target(id magnoliashore.TargetID) *targetLoad {
	r, ok := l.list[id]
	if !ok {
		r = &targetLoad{}
		l.list[id] = r
	}
	return r
}

// sent counts a sub-request that is sent to the target.
func (l *loads) sent(id magnoliashore.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target(id).inFlight++
}

// ended counts a sub-request that was answered or cancelled.
func (l *loads) ended(id magnoliashore.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target(id).inFlight--
}

// record stores an owner's load report.
func (l *loads) record(id magnoliashore.TargetID, load magnoliashore.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.target(id)
	r.load = load
	r.at = l.clock.Now()
}

// fill sets the load fields of a candidate.
func (l *loads) fill(c *magnoliashore.Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.list[c.Target]
	if !ok {
		return
	}
	c.Load = r.load
	c.Sent = r.inFlight
	c.Known = !r.at.IsZero() && l.clock.Now().Sub(r.at) < loadMaxAge
}
