package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Loads of the tests of cold targets. They are above what a cold target bears:
// 40 requests a second on one of the gallery, 80 on one of the enquiry.
var (
	coldGallery = stream{group: "gallery", period: 6 * time.Millisecond, deadline: 400 * time.Millisecond}
	coldEnquiry = stream{group: "enquiry", period: 8 * time.Millisecond, deadline: 400 * time.Millisecond}
)

const (
	serveBound  = 6 * time.Second // for a target to serve again after its owner died
	coldLength  = time.Second     // of load after each disturbance
	leastCold   = 20              // requests that must meet cold targets
	restartGap  = 30 * time.Millisecond
	rawDeadline = 400 * time.Millisecond
)

// coldCell starts a small cell and warms the targets that its loads use.
func coldCell(t *testing.T, c *cell) *cell {
	t.Helper()
	c.shape = small()
	c.start(t)
	c.warm("gallery")
	c.warm("enquiry")
	return c
}

// loaded returns the targets that the loads use.
func (c *cell) loaded() []*standin.Target {
	return append(c.targetsOf("look"), c.targetsOf("enquiry")...)
}

// holder returns the seat, other than the given one, that holds the lease on a
// target. The given one may be frozen, so it isn't asked.
func (c *cell) holder(id magnoliashore.TargetID, not *seat) *seat {
	for _, s := range c.others(not) {
		status, err := operator.FetchStatus(c.t.Context(), s.operator)
		if err != nil {
			continue
		}
		for _, l := range status.Leases() {
			if l.Target() == id {
				return s
			}
		}
	}
	return nil
}

// awaitHolder waits until a seat other than the given one holds the lease on a
// target.
func (c *cell) awaitHolder(target *standin.Target, not *seat) *seat {
	c.t.Helper()
	var found *seat
	c.await(10*time.Second, "another host holds the lease on "+target.Config().ID, func() bool {
		found = c.holder(magnoliashore.TargetID(target.Config().ID), not)
		return found != nil
	})
	return found
}

// ownedBy returns the loaded targets whose lease a seat holds.
func (c *cell) ownedBy(s *seat) []*standin.Target {
	status, err := operator.FetchStatus(c.t.Context(), s.operator)
	if err != nil {
		c.t.Fatalf("status of %s: got %v, want none", s.host, err)
	}
	var list []*standin.Target
	for _, target := range c.loaded() {
		for _, l := range status.Leases() {
			if string(l.Target()) == target.Config().ID {
				list = append(list, target)
			}
		}
	}
	return list
}

// others returns the seats but one.
func (c *cell) others(not *seat) []*seat {
	var list []*seat
	for _, s := range c.seats {
		if s != not {
			list = append(list, s)
		}
	}
	return list
}

func restartAll(targets []*standin.Target) {
	for _, target := range targets {
		target.Restart()
	}
}

// checkCold checks that no target that had told that it is cold was overrun,
// and that the test met cold targets at all.
func (c *cell) checkCold(from time.Time) {
	c.t.Helper()
	c.checkOverruns()
	c.checkColdMet(from)
}

// checkColdMet checks that the test met cold targets at all, and logs what
// happened before they had told.
func (c *cell) checkColdMet(from time.Time) {
	c.t.Helper()
	cold, untold := 0, 0
	for _, e := range c.ledger() {
		if e.Begun() && e.Cold() && e.Start().After(from) {
			cold++
		}
		if e.Result() == standin.ResultOverrun && !e.ColdReported() {
			untold++
		}
	}
	c.t.Logf("requests that cold targets ran: %d, overruns before the target had told: %d", cold, untold)
	if cold < leastCold {
		c.t.Errorf("requests that cold targets ran: got %d, want at least %d", cold, leastCold)
	}
}

// side is a load on some seats alone, whose queries carry the name of the side.
type side struct {
	name  string
	seats []*seat
	raw   *raw

	number   atomic.Uint64
	mu       sync.Mutex
	outcomes map[string]int
}

// run asks at a steady rate until ctx ends.
func (s *side) run(ctx context.Context, group magnoliashore.GroupName, period time.Duration) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			open.Go(func() { s.ask(group) })
		}
	}
}

func (s *side) ask(group magnoliashore.GroupName) {
	n := s.number.Add(1)
	id := magnoliashore.QueryID(fmt.Sprintf("%s-%d", s.name, n))
	to := s.seats[n%uint64(len(s.seats))]
	answer, err := s.raw.post(to.caller, magnoliashore.QuerySpec{ID: id, Group: group, Body: []byte("{}")}, rawDeadline)
	key := fmt.Sprintf("%v/%s", answer.Outcome(), answer.Reason())
	if err != nil {
		key = "no answer"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[key]++
}

// isOf reports whether a ledger entry belongs to a query of the side.
func (s *side) isOf(e standin.Entry) bool {
	return strings.HasPrefix(string(e.Query()), s.name+"-")
}

// start begins the load and returns how to end it.
func (s *side) start(t *testing.T, groups []magnoliashore.GroupName) (end func() map[string]int) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	var open sync.WaitGroup
	for _, group := range groups {
		open.Go(func() { s.run(ctx, group, coldGallery.period) })
	}
	return func() map[string]int {
		stop()
		open.Wait()
		return s.outcomes
	}
}
