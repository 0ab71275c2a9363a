package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/admit"
)

// cluster simulates a group of targets with a fixed number of slots, shared by
// hosts that each have their own gate. A query occupies one slot for its service
// time.
type cluster struct {
	random      *rand.Rand
	now         time.Time
	slots       int
	serviceTime time.Duration
	gates       []*admit.Gate

	queue   []*simQuery            // waiting at the targets
	active  []*simQuery            // running on a slot
	waiting []map[uint64]*simQuery // waiting at each gate
	lastID  uint64

	inTime, late, refused [2]int // number of queries by priority
}

// simQuery is one simulated query.
type simQuery struct {
	id        uint64
	gate      int
	priority  int
	arrived   time.Time
	waitUntil time.Time // end of the wait at the gate
	admitted  time.Time // time of admission by the gate
	finishes  time.Time
}

const (
	objective = 200 * time.Millisecond
	maxWait   = 50 * time.Millisecond // longest wait at the gate
	step      = time.Millisecond
)

func newCluster(hosts, slots int, serviceTime time.Duration) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), slots: slots, serviceTime: serviceTime}
	for range hosts {
		g := &admit.Gate{}
		g.Resize(slots, hosts)
		c.gates = append(c.gates, g)
		c.waiting = append(c.waiting, make(map[uint64]*simQuery))
	}
	return c
}

// run simulates a load of perSecond queries per second, a quarter of them with
// priority 1.
func (c *cluster) run(length time.Duration, perSecond float64) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		for range c.arrivals(perSecond * step.Seconds()) {
			c.arrive()
		}
		c.advance()
	}
}

// arrivals returns a Poisson-distributed number of arrivals.
func (c *cluster) arrivals(mean float64) int {
	n := 0
	for left := c.random.ExpFloat64(); left < mean; left += c.random.ExpFloat64() {
		n++
	}
	return n
}

func (c *cluster) arrive() {
	c.lastID++
	q := &simQuery{id: c.lastID, gate: c.random.IntN(len(c.gates)), arrived: c.now, waitUntil: c.now.Add(maxWait)}
	if c.random.IntN(4) == 0 {
		q.priority = 1
	}
	if c.gates[q.gate].Offer(q.id, q.priority) {
		q.admitted = c.now
		c.queue = append(c.queue, q)
		return
	}
	c.waiting[q.gate][q.id] = q
}

func (c *cluster) advance() {
	stillActive := c.active[:0]
	for _, q := range c.active {
		if c.now.Before(q.finishes) {
			stillActive = append(stillActive, q)
			continue
		}
		c.finish(q)
	}
	c.active = stillActive
	for i, g := range c.gates {
		for id, ok := g.Next(); ok; id, ok = g.Next() {
			c.waiting[i][id].admitted = c.now
			c.queue = append(c.queue, c.waiting[i][id])
			delete(c.waiting[i], id)
		}
		for id, q := range c.waiting[i] {
			if !c.now.Before(q.waitUntil) && g.Remove(id) {
				delete(c.waiting[i], id)
				c.refused[q.priority]++
			}
		}
	}
	for len(c.active) < c.slots && len(c.queue) > 0 {
		q := c.queue[0]
		c.queue = c.queue[1:]
		q.finishes = c.now.Add(time.Duration(float64(c.serviceTime) * (0.5 + c.random.Float64())))
		c.active = append(c.active, q)
	}
}

func (c *cluster) finish(q *simQuery) {
	inTime := c.now.Sub(q.arrived) <= objective
	c.gates[q.gate].Done(c.now, c.now.Sub(q.admitted) > objective/2)
	if inTime {
		c.inTime[q.priority]++
	} else {
		c.late[q.priority]++
	}
}

// resetCounts sets the counts of finished and refused queries to zero.
func (c *cluster) resetCounts() { c.inTime, c.late, c.refused = [2]int{}, [2]int{}, [2]int{} }

// TestGateKeepsAnsweringInOverload sends twice as many queries as the slots can
// run. Four fifths of what the slots can run must still be answered in time.
func TestGateKeepsAnsweringInOverload(t *testing.T) {
	t.Parallel()
	c := newCluster(7, 6, 25*time.Millisecond) // capacity: 240 queries per second
	c.run(2*time.Second, 100)
	c.resetCounts()
	c.run(5*time.Second, 480)
	total := c.inTime[0] + c.inTime[1]
	if want := 5 * 240 * 8 / 10; total < want {
		t.Errorf("got %d answers in time (%d late), want at least %d: four fifths of the capacity", total, c.late, want)
	}
	if got := c.late[0] + c.late[1]; got > total/10 {
		t.Errorf("got %d late answers, want at most a tenth of the %d in time", got, total)
	}
}

// TestGateServesUrgentQueriesFirst checks that in overload more of the urgent
// queries are answered in time, and still some of the others.
func TestGateServesUrgentQueriesFirst(t *testing.T) {
	t.Parallel()
	c := newCluster(7, 6, 25*time.Millisecond)
	c.run(5*time.Second, 480)
	share := func(priority int) float64 {
		return float64(c.inTime[priority]) / float64(c.inTime[priority]+c.late[priority]+c.refused[priority])
	}
	if share(0) < share(1) {
		t.Errorf("got %.2f of the urgent queries in time and %.2f of the others, want more of the urgent ones", share(0), share(1))
	}
	if c.inTime[1] == 0 {
		t.Error("got no answer to less urgent queries, want some")
	}
}

// TestGateRefusesNothingAtUsualLoad checks that nothing is refused at usual load,
// also after a time in which the targets were three times slower.
func TestGateRefusesNothingAtUsualLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(7, 6, 25*time.Millisecond)
	c.run(5*time.Second, 100)
	if got := c.refused[0] + c.refused[1]; got != 0 {
		t.Errorf("got %d refusals at 0.4 of the capacity, want none", got)
	}
	c.serviceTime *= 3
	c.run(5*time.Second, 70)
	c.serviceTime /= 3
	c.run(time.Second, 100)
	c.resetCounts()
	c.run(5*time.Second, 100)
	if got := c.refused[0] + c.refused[1]; got != 0 {
		t.Errorf("got %d refusals after the targets are fast again, want none", got)
	}
}

// TestGateSpreadsRetries refuses many queries at once and checks that their
// retries are spread over time.
func TestGateSpreadsRetries(t *testing.T) {
	t.Parallel()
	c := newCluster(1, 6, 25*time.Millisecond)
	c.run(3*time.Second, 480)
	last := time.Duration(0)
	for i := range 20 {
		after := c.gates[0].RetryAfter(c.now, 500*time.Millisecond)
		if after < last || after > 500*time.Millisecond {
			t.Errorf("refusal %d: got retry-after %s, want between %s and 500ms", i, after, last)
		}
		last = after
	}
	if last < 70*time.Millisecond {
		t.Errorf("got retry-after %s for the twentieth refusal, want at least 70ms", last)
	}
}
