package balance_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
)

const kind = "browse"

var start = time.Unix(1000, 0)

func target(id magnoliashore.TargetID, zone magnoliashore.ZoneName) *catalog.Target {
	return catalog.NewTarget(catalog.TargetSpec{ID: id, Zone: zone, Slots: 2})
}

// answer records a request that t answers after took, and returns the time of
// the answer.
func answer(b *balance.Balancer, now time.Time, t *catalog.Target, took time.Duration) time.Time {
	request := b.Start(now, t, kind)
	now = now.Add(took)
	b.Complete(now, request, took)
	return now
}

func TestChoosePrefersOwnZone(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	far, near := target("far", "b"), target("near", "a")
	if got := b.Choose(start, []*catalog.Target{far, near}, kind, nil); got != near {
		t.Errorf("got %s, want the target in its own zone", got.ID())
	}
}

// TestChooseAvoidsSlowTarget makes the target in the own zone nine times slower:
// the other zone is preferred until the measured slowness has decayed.
func TestChooseAvoidsSlowTarget(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	far, near := target("far", "b"), target("near", "a")
	now := start
	for range 20 {
		now = answer(b, now, far, 30*time.Millisecond)
		now = answer(b, now, near, 30*time.Millisecond)
	}
	for range 8 {
		now = answer(b, now, near, 270*time.Millisecond)
	}
	if got := b.Choose(now, []*catalog.Target{far, near}, kind, nil); got != far {
		t.Errorf("got %s, want the fast target", got.ID())
	}
	now = now.Add(20 * time.Second)
	if got := b.Choose(now, []*catalog.Target{far, near}, kind, nil); got != near {
		t.Errorf("got %s 20 s after the last slow answer, want the target in its own zone", got.ID())
	}
}

// TestChooseAvoidsStalledTarget has a target whose request in flight is overdue.
func TestChooseAvoidsStalledTarget(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	first, second := target("first", "a"), target("second", "a")
	now := start
	for range 20 {
		now = answer(b, now, first, 30*time.Millisecond)
		now = answer(b, now, second, 30*time.Millisecond)
	}
	b.Start(now, first, kind)
	b.Start(now, second, kind)
	b.Start(now.Add(180*time.Millisecond), second, kind)
	now = now.Add(200 * time.Millisecond)
	third := target("third", "a")
	if got := b.Choose(now, []*catalog.Target{first, third}, kind, nil); got != third {
		t.Errorf("got %s, want the target that is not stalled", got.ID())
	}
}

// TestChooseAvoidsFailingTarget checks that a failing target is avoided, for
// longer with each failure, and still chosen if there is no other.
func TestChooseAvoidsFailingTarget(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	bad, good := target("bad", "a"), target("good", "b")
	both := []*catalog.Target{bad, good}
	b.Fail(start, b.Start(start, bad, kind))
	if got := b.Choose(start, both, kind, nil); got != good {
		t.Errorf("got %s, want the target that did not fail", got.ID())
	}
	if got := b.Choose(start, []*catalog.Target{bad}, kind, nil); got != bad {
		t.Error("got another target or none, want the failing one: there is no other")
	}
	if got := b.Choose(start.Add(200*time.Millisecond), both, kind, nil); got != bad {
		t.Errorf("got %s after the first backoff, want the target in its own zone", got.ID())
	}
	for range 5 {
		b.Fail(start, b.Start(start, bad, kind))
	}
	if got := b.Choose(start.Add(time.Second), both, kind, nil); got != good {
		t.Errorf("got %s a second after six failures, want the other", got.ID())
	}
}

// TestPartlyFailingTargetIsAvoided alternates between failures and answers of the
// target in the own zone: it must be avoided although no two failures are
// consecutive, and used again some time after its last failure.
func TestPartlyFailingTargetIsAvoided(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	bad, good := target("bad", "a"), target("good", "b")
	both := []*catalog.Target{bad, good}
	now := start
	for range 6 {
		b.Fail(now, b.Start(now, bad, kind))
		now = answer(b, now.Add(50*time.Millisecond), bad, 30*time.Millisecond)
	}
	if got := b.Choose(now, both, kind, nil); got != good {
		t.Errorf("got %s, want the target that does not fail", got.ID())
	}
	if got := b.Choose(now.Add(20*time.Second), both, kind, nil); got != bad {
		t.Errorf("got %s 20 s after the last failure, want the target in its own zone", got.ID())
	}
}

// TestCancelledRequestsShowASlowTarget has a target in the own zone that is six
// times slower. None of its requests is answered, since each is cancelled when a
// hedge has been answered first: it must be avoided nevertheless.
func TestCancelledRequestsShowASlowTarget(t *testing.T) {
	t.Parallel()
	const typical, untilHedged = 30 * time.Millisecond, 90 * time.Millisecond
	b := &balance.Balancer{Zone: "a"}
	slow, far := target("slow", "a"), target("far", "b")
	now := start
	for range 20 {
		now = answer(b, now, far, typical)
	}
	for range 10 {
		request := b.Start(now, slow, kind)
		now = now.Add(untilHedged)
		b.Abandon(now, request, untilHedged)
	}
	if got := b.Choose(now, []*catalog.Target{slow, far}, kind, nil); got != far {
		t.Errorf("got %s, want the target that answers", got.ID())
	}
}

// TestChooseWithoutStatistics starts 60 hosts at once, each with one request for
// a service with three targets in its zone: they must not all choose the same.
func TestChooseWithoutStatistics(t *testing.T) {
	t.Parallel()
	targets := []*catalog.Target{target("one", "a"), target("two", "a"), target("three", "a")}
	counts := make(map[magnoliashore.TargetID]int)
	for seed := range uint64(60) {
		b := &balance.Balancer{Zone: "a", Random: rand.New(rand.NewPCG(seed, 5))}
		counts[b.Choose(start, targets, kind, nil).ID()]++
	}
	for _, x := range targets {
		if got := counts[x.ID()]; got < 10 || got > 30 {
			t.Errorf("target %s: got %d of 60 requests, want about a third", x.ID(), got)
		}
	}
}

func TestChooseExcludesTargets(t *testing.T) {
	t.Parallel()
	b := &balance.Balancer{Zone: "a"}
	one := target("one", "a")
	if got := b.Choose(start, []*catalog.Target{one}, kind, []magnoliashore.TargetID{"one"}); got != nil {
		t.Errorf("got %s, want none", got.ID())
	}
}

func TestSplitterFollowsWeights(t *testing.T) {
	t.Parallel()
	route := catalog.NewRoute(catalog.RouteSpec{Name: "r", Split: []catalog.WeightedService{
		{Service: "x", Weight: 0.7}, {Service: "y", Weight: 0.25}, {Service: "z", Weight: 0.05}, {Service: "none", Weight: 0},
	}})
	var d balance.Splitter
	counts := make(map[magnoliashore.ServiceName]int)
	for range 100 {
		counts[d.Next(route)]++
	}
	for service, want := range map[magnoliashore.ServiceName]int{"x": 70, "y": 25, "z": 5, "none": 0} {
		if got := counts[service]; math.Abs(float64(got-want)) > 1 {
			t.Errorf("%s: got %d of 100 requests, want %d", service, got, want)
		}
	}
}

// retryRatio is the ratio of retries to requests that deployments allow
// (`retryBudgetRatio`).
const retryRatio = 0.2

// TestFlappingTargets has one target of three, then two, fail every request in
// alternate half seconds. The failures must fit in half of the retry budget.
func TestFlappingTargets(t *testing.T) {
	t.Parallel()
	const (
		phase    = 500 * time.Millisecond
		gap      = 5 * time.Millisecond
		requests = 4000
	)
	targets := []*catalog.Target{target("one", "a"), target("two", "a"), target("three", "a")}
	for flapping := 1; flapping <= 2; flapping++ {
		b := &balance.Balancer{Zone: "a", Random: rand.New(rand.NewPCG(7, 5))}
		failed := 0
		for i := range requests {
			now := start.Add(time.Duration(i) * gap)
			got := b.Choose(now, targets, kind, nil)
			request := b.Start(now, got, kind)
			down := now.Sub(start)/phase%2 == 1
			if at := slices.Index(targets, got); at < flapping && down {
				failed++
				b.Fail(now, request)
				continue
			}
			b.Complete(now, request, gap)
		}
		if got := float64(failed) / requests; got > retryRatio/2 {
			t.Errorf("%d flapping: got a failed share of %.3f of the requests, want at most half of the retry ratio %.2f", flapping, got, retryRatio)
		}
	}
}

// TestFailingTargets checks which targets count as failing: the latest request failed a
// short time ago, or one is without an answer for long.
func TestFailingTargets(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	b := &balance.Balancer{Zone: "a"}
	target := catalog.NewTarget(catalog.TargetSpec{ID: "t", Zone: "a"})
	want := func(what string, failing bool) {
		t.Helper()
		if got := b.Failing(now, "t", time.Second, 300*time.Millisecond); got != failing {
			t.Errorf("%s: got failing %t, want %t", what, got, failing)
		}
	}
	want("no request yet", false)
	first := b.Start(now, target, "k")
	now = now.Add(200 * time.Millisecond)
	want("waiting", false)
	now = now.Add(200 * time.Millisecond)
	want("waiting for long", true)
	b.Complete(now, first, 400*time.Millisecond)
	want("answered", false)
	b.Fail(now, b.Start(now, target, "k"))
	want("failed", true)
	now = now.Add(1100 * time.Millisecond)
	want("failed some time ago", false)
	b.Fail(now, b.Start(now, target, "k"))
	cost := b.Cost(now, target, "k")
	b.Forget("t")
	want("forgotten", false)
	if got := b.Cost(now, target, "k"); got >= cost || got != 1 {
		t.Errorf("got cost %v of a forgotten target after %v, want that of one that was never measured", got, cost)
	}
}
