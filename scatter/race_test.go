package scatter_test

import (
	"slices"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/scatter"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func terms() scatter.Params {
	return scatter.Params{
		Shards: 4, MinShards: 3, Attempts: 2,
		Hedge: 30 * time.Millisecond, PartialAfter: 80 * time.Millisecond, Timeout: 800 * time.Millisecond,
	}
}

// sent returns a race of which every shard was asked once at the start.
func sent(t scatter.Params) *scatter.Progress {
	r := scatter.NewProgress(t, start)
	for i := range t.Shards {
		r.Sent(start, i)
	}
	return r
}

func TestVerdict(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		play  func(r *scatter.Progress)
		after int // milliseconds
		want  scatter.Decision
	}{
		{"nothing is in", func(*scatter.Progress) {}, 10, scatter.Wait},
		{"all parts are in", func(r *scatter.Progress) { in(r, 0, 1, 2, 3) }, 10, scatter.Answer},
		{"enough parts before the settle time", func(r *scatter.Progress) { in(r, 0, 1, 2) }, 79, scatter.Wait},
		{"enough parts at the settle time", func(r *scatter.Progress) { in(r, 0, 1, 2) }, 80, scatter.Answer},
		{"too few parts at the settle time", func(r *scatter.Progress) { in(r, 0, 1) }, 80, scatter.Wait},
		{"enough parts and the rest lost", func(r *scatter.Progress) { in(r, 0, 1, 2); miss(r, 3) }, 10, scatter.Answer},
		{"too many shards lost", func(r *scatter.Progress) { miss(r, 2, 3) }, 10, scatter.Fail},
		{"the time is over", func(r *scatter.Progress) { in(r, 0) }, 800, scatter.Expired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := sent(terms())
			test.play(r)
			if got := r.Decide(at(test.after)); got != test.want {
				t.Errorf("got verdict %d, want %d", got, test.want)
			}
		})
	}
}

func in(r *scatter.Progress, shards ...int) {
	for _, i := range shards {
		r.AddResult(i)
	}
}

func miss(r *scatter.Progress, shards ...int) {
	for _, i := range shards {
		r.Missed(i, false)
		r.GiveUp(i)
	}
}

// TestHedgesPausedShards has one replica pause: its shard alone is asked again.
func TestHedgesPausedShards(t *testing.T) {
	t.Parallel()
	r := sent(terms())
	in(r, 0, 1, 3)
	if got := r.Late(at(29)); len(got) != 0 {
		t.Errorf("got late shards %v before the hedging delay, want none", got)
	}
	if got := r.Wake(at(10)); !got.Equal(at(30)) {
		t.Errorf("got wake-up at %v, want %v", got.Sub(start), at(30).Sub(start))
	}
	if got, want := r.Late(at(30)), []int{2}; !slices.Equal(got, want) {
		t.Fatalf("got late shards %v, want %v", got, want)
	}
	r.Sent(at(30), 2)
	if got := r.Late(at(200)); len(got) != 0 {
		t.Errorf("got late shards %v after both attempts, want none", got)
	}
	if !r.AddResult(2) {
		t.Error("got a repeated part, want the first")
	}
	if r.AddResult(2) {
		t.Error("got a first part, want a repeated one")
	}
	if got := r.Missing(); got != 0 {
		t.Errorf("got %d missing, want 0", got)
	}
}

// TestBudgetRefusesHedge has the retry budget empty: the shard is not lost
// while its first attempt is open.
func TestBudgetRefusesHedge(t *testing.T) {
	t.Parallel()
	r := sent(terms())
	in(r, 0, 1, 2)
	r.GiveUp(3)
	r.PostponeHedge(at(30), 3)
	if got := r.Late(at(40)); len(got) != 0 {
		t.Errorf("got late shards %v right after a refused hedge, want none", got)
	}
	if got := r.Decide(at(40)); got != scatter.Wait {
		t.Errorf("got verdict %d, want %d: an open attempt may bring the part", got, scatter.Wait)
	}
}

// TestOnceIsSentAgainOnlyIfNotRun has a request that may run once.
func TestOnceIsSentAgainOnlyIfNotRun(t *testing.T) {
	t.Parallel()
	once := scatter.Params{Shards: 1, MinShards: 1, Attempts: 3, Hedge: time.Millisecond, Timeout: time.Second, AtMostOnce: true}
	r := sent(once)
	if got := r.Late(at(500)); len(got) != 0 {
		t.Errorf("got a hedge of a request that may run once, want none")
	}
	if !r.Missed(0, false) {
		t.Error("got no repeat after a refusal, want one")
	}
	r.Sent(at(1), 0)
	if r.Missed(0, true) {
		t.Error("got a repeat after an attempt that may have run, want none")
	}
	r.GiveUp(0)
	if got := r.Decide(at(2)); got != scatter.Fail {
		t.Errorf("got verdict %d, want %d", got, scatter.Fail)
	}
	if !r.Ran() {
		t.Error("got not run, want that it may have run")
	}
}

// TestRefusedEverywhereDidNotRun has all targets refuse.
func TestRefusedEverywhereDidNotRun(t *testing.T) {
	t.Parallel()
	r := sent(terms())
	miss(r, 0, 1, 2, 3)
	if r.Ran() {
		t.Error("got that the query may have run, want that it has not")
	}
}

// TestDelegatedShardIsNotAskedHere has another host ask a shard.
func TestDelegatedShardIsNotAskedHere(t *testing.T) {
	t.Parallel()
	r := scatter.NewProgress(terms(), start)
	for i := range 4 {
		r.Delegated(start, i)
	}
	if got := r.Late(at(100)); len(got) != 0 {
		t.Errorf("got late shards %v, want none", got)
	}
	if r.Missed(1, true) {
		t.Error("got a repeat of a shard that another host asks, want none")
	}
}

// TestRecalledShards has the host of a batch die before and after the moment
// at which it may have asked a shard a second time: of two attempts, one is
// left only before.
func TestRecalledShards(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		at   time.Time
		once bool
		want bool
	}{
		{"before it could hedge", at(20), false, true},
		{"after it could hedge", at(40), false, false},
		{"may run once", at(20), true, false},
	} {
		terms := terms()
		terms.AtMostOnce = test.once
		r := scatter.NewProgress(terms, start)
		r.Delegated(start, 1)
		r.Recall(test.at, 1)
		if got := r.Missed(1, true); got != test.want {
			t.Errorf("%s: got that the shard may be asked again %t, want %t", test.name, got, test.want)
		}
	}
}
