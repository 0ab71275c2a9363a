package scatter_test

import (
	"slices"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/scatter"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func params() scatter.Params {
	return scatter.Params{
		Shards: 4, MinShards: 3, MaxAttempts: 2,
		HedgeAfter: 30 * time.Millisecond, PartialAfter: 80 * time.Millisecond, Timeout: 800 * time.Millisecond,
	}
}

// started returns the state of a query with one attempt at each shard, made at
// start.
func started(p scatter.Params) *scatter.Progress {
	r := scatter.NewProgress(p, start)
	for i := range p.Shards {
		r.RecordAttempt(start, i)
	}
	return r
}

func TestDecide(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		events  func(r *scatter.Progress)
		elapsed int // milliseconds
		want    scatter.Decision
	}{
		{"no results", func(*scatter.Progress) {}, 10, scatter.Wait},
		{"all results", func(r *scatter.Progress) { addResults(r, 0, 1, 2, 3) }, 10, scatter.Answer},
		{"enough results before PartialAfter", func(r *scatter.Progress) { addResults(r, 0, 1, 2) }, 79, scatter.Wait},
		{"enough results at PartialAfter", func(r *scatter.Progress) { addResults(r, 0, 1, 2) }, 80, scatter.Answer},
		{"too few results at PartialAfter", func(r *scatter.Progress) { addResults(r, 0, 1) }, 80, scatter.Wait},
		{"enough results and the rest given up", func(r *scatter.Progress) { addResults(r, 0, 1, 2); giveUp(r, 3) }, 10, scatter.Answer},
		{"too many shards given up", func(r *scatter.Progress) { giveUp(r, 2, 3) }, 10, scatter.Fail},
		{"timeout has passed", func(r *scatter.Progress) { addResults(r, 0) }, 800, scatter.Expired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := started(params())
			test.events(r)
			if got := r.Decide(at(test.elapsed)); got != test.want {
				t.Errorf("got decision %d, want %d", got, test.want)
			}
		})
	}
}

func addResults(r *scatter.Progress, shards ...int) {
	for _, i := range shards {
		r.AddResult(i)
	}
}

func giveUp(r *scatter.Progress, shards ...int) {
	for _, i := range shards {
		r.RecordFailure(i, false)
		r.GiveUp(i)
	}
}

// TestHedgesStalledShard has one replica stall: only its shard is hedged.
func TestHedgesStalledShard(t *testing.T) {
	t.Parallel()
	r := started(params())
	addResults(r, 0, 1, 3)
	if got := r.DueHedges(at(29)); len(got) != 0 {
		t.Errorf("got due hedges %v before the hedging delay, want none", got)
	}
	if got := r.NextChange(at(10)); !got.Equal(at(30)) {
		t.Errorf("got a wake-up at %v, want %v", got.Sub(start), at(30).Sub(start))
	}
	if got, want := r.DueHedges(at(30)), []int{2}; !slices.Equal(got, want) {
		t.Fatalf("got due hedges %v, want %v", got, want)
	}
	r.RecordAttempt(at(30), 2)
	if got := r.DueHedges(at(200)); len(got) != 0 {
		t.Errorf("got due hedges %v after both attempts, want none", got)
	}
	if !r.AddResult(2) {
		t.Error("got that the result is not the first, want that it is")
	}
	if r.AddResult(2) {
		t.Error("got that the second result is the first, want that it is not")
	}
	if got := r.Missing(); got != 0 {
		t.Errorf("got %d missing, want 0", got)
	}
}

// TestHedgeWithoutBudget has the retry budget refuse a hedge: the shard is not
// given up while its first attempt is in flight.
func TestHedgeWithoutBudget(t *testing.T) {
	t.Parallel()
	r := started(params())
	addResults(r, 0, 1, 2)
	r.GiveUp(3)
	r.PostponeHedge(at(30), 3)
	if got := r.DueHedges(at(40)); len(got) != 0 {
		t.Errorf("got due hedges %v right after a refused hedge, want none", got)
	}
	if got := r.Decide(at(40)); got != scatter.Wait {
		t.Errorf("got decision %d, want %d: the attempt in flight may yield a result", got, scatter.Wait)
	}
}

// TestAtMostOnceIsRetriedOnlyIfNotRun checks that a request that may run at most
// once is never hedged, and retried only if no attempt may have run.
func TestAtMostOnceIsRetriedOnlyIfNotRun(t *testing.T) {
	t.Parallel()
	p := scatter.Params{Shards: 1, MinShards: 1, MaxAttempts: 3, HedgeAfter: time.Millisecond, Timeout: time.Second, AtMostOnce: true}
	r := started(p)
	if got := r.DueHedges(at(500)); len(got) != 0 {
		t.Errorf("got a hedge of a request that may run at most once, want none")
	}
	if !r.RecordFailure(0, false) {
		t.Error("got no retry after a refusal, want one")
	}
	r.RecordAttempt(at(1), 0)
	if r.RecordFailure(0, true) {
		t.Error("got a retry after an attempt that may have run, want none")
	}
	r.GiveUp(0)
	if got := r.Decide(at(2)); got != scatter.Fail {
		t.Errorf("got decision %d, want %d", got, scatter.Fail)
	}
	if !r.MayHaveRun() {
		t.Error("got that the request has not run, want that it may have")
	}
}

// TestRefusedEverywhereDidNotRun has all targets refuse: the query cannot have
// run.
func TestRefusedEverywhereDidNotRun(t *testing.T) {
	t.Parallel()
	r := started(params())
	giveUp(r, 0, 1, 2, 3)
	if r.MayHaveRun() {
		t.Error("got that the query may have run, want that it has not")
	}
}

// TestDelegatedShardIsNotRetried checks that this host neither hedges nor retries
// a shard that it delegated.
func TestDelegatedShardIsNotRetried(t *testing.T) {
	t.Parallel()
	r := scatter.NewProgress(params(), start)
	for i := range 4 {
		r.RecordDelegation(start, i)
	}
	if got := r.DueHedges(at(100)); len(got) != 0 {
		t.Errorf("got due hedges %v, want none", got)
	}
	if r.RecordFailure(1, true) {
		t.Error("got a retry of a delegated shard, want none")
	}
}

// TestRecalledShards loses the host of a batch, which may have made both attempts at a
// shard at any time. A further one is allowed only if the shard has just two targets.
func TestRecalledShards(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		targets    int
		atMostOnce bool
		want       bool
	}{
		{"as many targets as attempts", 2, false, true},
		{"more targets than attempts", 3, false, false},
		{"at most once", 2, true, false},
	} {
		p := params()
		p.AtMostOnce = test.atMostOnce
		r := scatter.NewProgress(p, start)
		r.RecordDelegation(start, 1)
		r.Undelegate(1, test.targets)
		if got := r.RecordFailure(1, true); got != test.want {
			t.Errorf("%s: got a retry allowed %t, want %t", test.name, got, test.want)
		}
	}
}
