package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/admit"
)

// shop is a group of targets with a fixed number of slots that hosts share,
// each with a gate of its own. A query holds one slot for its work.
type shop struct {
	random *rand.Rand
	now    time.Time
	slots  int
	work   time.Duration
	gates  []*admit.Gate

	queue  []*visit // at the targets
	inside []*visit // on a slot
	held   []map[uint64]*visit
	number uint64

	inTime, late, refused [2]int // by rank
}

// visit is one query.
type visit struct {
	id    uint64
	gate  int
	rank  int
	came  time.Time
	until time.Time // it waits at the gate until then
	began time.Time // when the gate let it in
	ends  time.Time
}

const (
	objective = 200 * time.Millisecond
	patience  = 50 * time.Millisecond // at the gate
	step      = time.Millisecond
)

func newShop(hosts, slots int, work time.Duration) *shop {
	s := &shop{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), slots: slots, work: work}
	for range hosts {
		g := &admit.Gate{}
		g.Resize(slots, hosts)
		s.gates = append(s.gates, g)
		s.held = append(s.held, make(map[uint64]*visit))
	}
	return s
}

// run plays a load of queries a second; a quarter of them are of rank 1.
func (s *shop) run(length time.Duration, perSecond float64) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		for range s.arrivals(perSecond * step.Seconds()) {
			s.arrive()
		}
		s.advance()
	}
}

func (s *shop) arrivals(mean float64) int {
	n := 0
	for left := s.random.ExpFloat64(); left < mean; left += s.random.ExpFloat64() {
		n++
	}
	return n
}

func (s *shop) arrive() {
	s.number++
	v := &visit{id: s.number, gate: s.random.IntN(len(s.gates)), came: s.now, until: s.now.Add(patience)}
	if s.random.IntN(4) == 0 {
		v.rank = 1
	}
	if s.gates[v.gate].Offer(v.id, v.rank) {
		v.began = s.now
		s.queue = append(s.queue, v)
		return
	}
	s.held[v.gate][v.id] = v
}

func (s *shop) advance() {
	still := s.inside[:0]
	for _, v := range s.inside {
		if s.now.Before(v.ends) {
			still = append(still, v)
			continue
		}
		s.finish(v)
	}
	s.inside = still
	for i, g := range s.gates {
		for id, ok := g.Next(); ok; id, ok = g.Next() {
			s.held[i][id].began = s.now
			s.queue = append(s.queue, s.held[i][id])
			delete(s.held[i], id)
		}
		for id, v := range s.held[i] {
			if !s.now.Before(v.until) && g.Remove(id) {
				delete(s.held[i], id)
				s.refused[v.rank]++
			}
		}
	}
	for len(s.inside) < s.slots && len(s.queue) > 0 {
		v := s.queue[0]
		s.queue = s.queue[1:]
		v.ends = s.now.Add(time.Duration(float64(s.work) * (0.5 + s.random.Float64())))
		s.inside = append(s.inside, v)
	}
}

func (s *shop) finish(v *visit) {
	in := s.now.Sub(v.came) <= objective
	s.gates[v.gate].Done(s.now, s.now.Sub(v.began) > objective/2)
	if in {
		s.inTime[v.rank]++
	} else {
		s.late[v.rank]++
	}
}

func (s *shop) forget() { s.inTime, s.late, s.refused = [2]int{}, [2]int{}, [2]int{} }

// TestGateKeepsAnsweringInOverload sends four times the usual load, for which
// the slots do not suffice: most of what they can do is still done in time.
func TestGateKeepsAnsweringInOverload(t *testing.T) {
	t.Parallel()
	s := newShop(7, 6, 25*time.Millisecond) // 240 queries a second
	s.run(2*time.Second, 100)
	s.forget()
	s.run(5*time.Second, 480)
	total := s.inTime[0] + s.inTime[1]
	if want := 5 * 240 * 8 / 10; total < want {
		t.Errorf("got %d answers in time (%d late), want at least %d: four fifths of what the slots can do", total, s.late, want)
	}
	if got := s.late[0] + s.late[1]; got > total/10 {
		t.Errorf("got %d late answers, want at most a tenth of the %d in time", got, total)
	}
}

// TestGateServesUrgentQueriesFirst checks the ranks in the same overload.
func TestGateServesUrgentQueriesFirst(t *testing.T) {
	t.Parallel()
	s := newShop(7, 6, 25*time.Millisecond)
	s.run(5*time.Second, 480)
	share := func(rank int) float64 {
		return float64(s.inTime[rank]) / float64(s.inTime[rank]+s.late[rank]+s.refused[rank])
	}
	if share(0) < share(1) {
		t.Errorf("got %.2f of the urgent queries in time and %.2f of the others, want more of the urgent ones", share(0), share(1))
	}
	if s.inTime[1] == 0 {
		t.Error("got no answer to less urgent queries, want some")
	}
}

// TestGateRefusesNoUsualLoad plays the usual load, also on targets that are
// three times slower for a while.
func TestGateRefusesNoUsualLoad(t *testing.T) {
	t.Parallel()
	s := newShop(7, 6, 25*time.Millisecond)
	s.run(5*time.Second, 100)
	if got := s.refused[0] + s.refused[1]; got != 0 {
		t.Errorf("got %d refusals at 0.4 of the capacity, want none", got)
	}
	s.work *= 3
	s.run(5*time.Second, 70)
	s.work /= 3
	s.run(time.Second, 100)
	s.forget()
	s.run(5*time.Second, 100)
	if got := s.refused[0] + s.refused[1]; got != 0 {
		t.Errorf("got %d refusals after the targets are fast again, want none", got)
	}
}

// TestGateSpreadsReturns refuses many queries at once.
func TestGateSpreadsReturns(t *testing.T) {
	t.Parallel()
	s := newShop(1, 6, 25*time.Millisecond)
	s.run(3*time.Second, 480)
	last := time.Duration(0)
	for i := range 20 {
		after := s.gates[0].RetryAfter(s.now, 500*time.Millisecond)
		if after < last || after > 500*time.Millisecond {
			t.Errorf("refusal %d: got to come back after %s, want between %s and 500ms", i, after, last)
		}
		last = after
	}
	if last < 70*time.Millisecond {
		t.Errorf("got the twentieth to come back after %s, want it behind the others", last)
	}
}
