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

// Loads of the tests of cold targets. They exceed the capacity of a cold target,
// which is 40 requests a second in the gallery group and 80 in the enquiry group.
var (
	coldGallery = stream{group: "gallery", period: 6 * time.Millisecond, deadline: 400 * time.Millisecond}
	coldEnquiry = stream{group: "enquiry", period: 8 * time.Millisecond, deadline: 400 * time.Millisecond}
)

const (
	recoveryBound   = 6 * time.Second        // longest time until a target serves again after its owner died
	faultLoadLength = time.Second            // duration of the load after each fault
	minColdRequests = 20                     // least number of requests that must run on cold targets
	restartPause    = 30 * time.Millisecond  // pause after restarting targets
	rawDeadline     = 400 * time.Millisecond // deadline of the queries of a sideLoad
)

// startColdCell starts a small cell and warms the targets that the loads use.
func startColdCell(t *testing.T, c *cell) *cell {
	t.Helper()
	c.shape = small()
	c.start(t)
	c.warm("gallery")
	c.warm("enquiry")
	return c
}

// loadedTargets returns the targets that the loads use.
func (c *cell) loadedTargets() []*standin.Target {
	return append(c.targetsOf("look"), c.targetsOf("enquiry")...)
}

// leaseHolder returns the seat that holds the lease on a target, or nil. It skips
// the seat except, whose process may be frozen.
func (c *cell) leaseHolder(id magnoliashore.TargetID, except *seat) *seat {
	for _, s := range c.seatsExcept(except) {
		status, err := operator.FetchStatus(c.t.Context(), s.operatorAddr)
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

// awaitLeaseHolder waits until a seat other than except holds the lease on a
// target.
func (c *cell) awaitLeaseHolder(target *standin.Target, except *seat) *seat {
	c.t.Helper()
	var found *seat
	c.await(10*time.Second, "another host holds the lease on "+target.Config().ID, func() bool {
		found = c.leaseHolder(magnoliashore.TargetID(target.Config().ID), except)
		return found != nil
	})
	return found
}

// leasedTargets returns the loaded targets on which a seat holds the lease.
func (c *cell) leasedTargets(s *seat) []*standin.Target {
	status, err := operator.FetchStatus(c.t.Context(), s.operatorAddr)
	if err != nil {
		c.t.Fatalf("status of %s: got %v, want none", s.host, err)
	}
	var list []*standin.Target
	for _, target := range c.loadedTargets() {
		for _, l := range status.Leases() {
			if string(l.Target()) == target.Config().ID {
				list = append(list, target)
			}
		}
	}
	return list
}

// seatsExcept returns all seats but one.
func (c *cell) seatsExcept(except *seat) []*seat {
	var list []*seat
	for _, s := range c.seats {
		if s != except {
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

// checkCold checks that no target was overrun after it had reported that it is
// cold, and that enough requests ran on cold targets.
func (c *cell) checkCold(from time.Time) {
	c.t.Helper()
	c.checkOverruns()
	c.checkColdRequests(from)
}

// checkColdRequests checks that at least minColdRequests requests ran on cold
// targets, and logs the overruns of targets that had not yet reported that they
// are cold.
func (c *cell) checkColdRequests(from time.Time) {
	c.t.Helper()
	cold, unreported := 0, 0
	for _, e := range c.ledger() {
		if e.Begun() && e.Cold() && e.Start().After(from) {
			cold++
		}
		if e.Result() == standin.ResultOverrun && !e.ColdReported() {
			unreported++
		}
	}
	c.t.Logf("requests that cold targets ran: %d, overruns before the target had reported that it is cold: %d", cold, unreported)
	if cold < minColdRequests {
		c.t.Errorf("requests that cold targets ran: got %d, want at least %d", cold, minColdRequests)
	}
}

// sideLoad is a load on some of the seats, whose query ids begin with its name.
type sideLoad struct {
	name  string
	seats []*seat
	raw   *rawClient

	lastQuery atomic.Uint64
	mu        sync.Mutex
	outcomes  map[string]int
}

// queryPeriodically sends queries at a steady rate until ctx ends.
func (s *sideLoad) queryPeriodically(ctx context.Context, group magnoliashore.GroupName, period time.Duration) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			wg.Go(func() { s.query(group) })
		}
	}
}

func (s *sideLoad) query(group magnoliashore.GroupName) {
	n := s.lastQuery.Add(1)
	id := magnoliashore.QueryID(fmt.Sprintf("%s-%d", s.name, n))
	to := s.seats[n%uint64(len(s.seats))]
	answer, err := s.raw.post(to.callerAddr, magnoliashore.QuerySpec{ID: id, Group: group, Body: []byte("{}")}, rawDeadline)
	key := fmt.Sprintf("%v/%s", answer.Outcome(), answer.Reason())
	if err != nil {
		key = "no answer"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[key]++
}

// matches reports whether a ledger entry belongs to a query of this load.
func (s *sideLoad) matches(e standin.Entry) bool {
	return strings.HasPrefix(string(e.Query()), s.name+"-")
}

// start starts the load. The returned function stops it and returns the number of
// queries by outcome.
func (s *sideLoad) start(t *testing.T, groups []magnoliashore.GroupName) (end func() map[string]int) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	var wg sync.WaitGroup
	for _, group := range groups {
		wg.Go(func() { s.queryPeriodically(ctx, group, coldGallery.period) })
	}
	return func() map[string]int {
		stop()
		wg.Wait()
		return s.outcomes
	}
}
