package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// shardedEngine returns an engine with three shards of one target each, and a query
// over them that needs two.
func shardedEngine() (*Engine, *query) {
	q := &query{kind: "k", scatter: true, params: scatter.Params{Shards: 3, MinShards: 2, MaxAttempts: 1}}
	targets := make([]*catalog.Target, 0, q.params.Shards)
	for _, name := range []magnoliashore.ServiceName{"s0", "s1", "s2"} {
		q.services = append(q.services, name)
		targets = append(targets, catalog.NewTarget(catalog.TargetSpec{ID: magnoliashore.TargetID("t-" + name), Service: name, Zone: "a", Slots: 2}))
	}
	return testEngine(catalog.NewView(nil, targets), retry.Limit{}), q
}

// nameLimit lets a target name a limit in an answer.
func nameLimit(e *Engine, id magnoliashore.TargetID, limit float64) {
	reply := magnoliashore.TargetReply{Limited: true, Limit: limit}
	e.observeLimit(e.Timer.Now(), id, origin.Result{Status: http.StatusOK, Reply: reply})
}

// TestQueryOverLimitsIsRefusedBeforeItRuns guards against queries over shards that
// use up the limits of some shards although other shards, also at their limits, are
// missing for an answer.
func TestQueryOverLimitsIsRefusedBeforeItRuns(t *testing.T) {
	t.Parallel()
	const (
		limit = 0.5 // requests per second; half of it is for hosts without a lease
		asked = 3
	)
	e, q := shardedEngine()
	for _, test := range []struct {
		name   string
		target magnoliashore.TargetID // is at its limit from now on
		refuse bool
	}{{"one shard of three", "t-s0", false}, {"two shards of three", "t-s1", true}, {"three shards", "t-s2", true}} {
		nameLimit(e, test.target, limit)
		e.quotas.Allows(e.Timer.Now(), test.target, e.Hosts.Sharing())
		e.quotas.Take(test.target)
		got := e.limitDelay(q)
		if (got > 0) != test.refuse {
			t.Errorf("%s at their limits: got a delay of %s, want one: %t", test.name, got, test.refuse)
		}
		if longest := time.Duration((asked + 1) / (limit / 2) * float64(time.Second)); got > longest {
			t.Errorf("%s at their limits: got a delay of %s, want %s at most", test.name, got, longest)
		}
	}
}

// TestRequestsOverALimitGoToOtherTargets guards against requests that fail or wait
// though another target of the service is below its limit.
func TestRequestsOverALimitGoToOtherTargets(t *testing.T) {
	t.Parallel()
	view := catalog.NewView(nil, []*catalog.Target{targetOf("limited", time.Time{}), targetOf("free", time.Time{})})
	e := testEngine(view, retry.Limit{})
	nameLimit(e, "limited", 1)
	sent := make(map[magnoliashore.TargetID]int)
	for range 20 {
		a, ok := e.pick(&query{kind: "k"}, "s", nil, firstAttempt)
		if !ok {
			t.Fatal("got no target, want the one without a limit")
		}
		sent[a.target.ID()]++
	}
	if got := sent["limited"]; got > 1 {
		t.Errorf("got %d of 20 requests at the limited target, want 1 at most", got)
	}
}
