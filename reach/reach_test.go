package reach_test

import (
	"slices"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/reach"
)

const a = magnoliashore.ZoneName("a")

// detector is a detector with a clock.
type detector struct {
	reach.Detector

	now time.Time
}

func newDetector() *detector { return &detector{now: time.Unix(1000, 0)} }

func (d *detector) pass(length time.Duration) { d.now = d.now.Add(length) }

func (d *detector) test(own, others int) reach.Change {
	return d.Record(d.now, reach.Test{Zone: a, Tried: 3, Own: own, Others: others})
}

func wantChange(t *testing.T, what string, got, want reach.Change) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got change %d, want %d", what, got, want)
	}
}

// TestTargetsThatAreDownAreNoCut guards against hosts that blame their own path for
// targets that are down, and pass on requests that no host can serve.
func TestTargetsThatAreDownAreNoCut(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name        string
		own, others int
		want        reach.Change
		wantDirect  bool
	}{
		{"no host connects", 0, 0, reach.Unchanged, true},
		{"others connect to a minority", 0, 1, reach.Unchanged, true},
		{"others connect to most", 0, 2, reach.CutBegan, false},
		{"others connect to all", 0, 3, reach.CutBegan, false},
		{"this host connects to one", 1, 3, reach.Unchanged, true},
		{"all connect", 3, 3, reach.Unchanged, true},
	} {
		d := newDetector()
		d.Observe(d.now, a, true)
		wantChange(t, test.name, d.test(test.own, test.others), test.want)
		if got := d.Direct(a, 0); got != test.wantDirect {
			t.Errorf("%s: got direct requests %t, want %t", test.name, got, test.wantDirect)
		}
		if !d.Direct("b", 0) {
			t.Errorf("%s: got no direct requests to another zone, want them", test.name)
		}
	}
}

func TestTestsArePlanned(t *testing.T) {
	t.Parallel()
	d := newDetector()
	if due := d.DueTests(d.now); due != nil {
		t.Errorf("got tests of %v without a suspicion, want none", due)
	}
	d.Observe(d.now, a, true)
	tests := 0
	for range 100 { // 10 s
		if slices.Contains(d.DueTests(d.now), a) {
			tests++
			d.test(3, 0)
		}
		d.pass(100 * time.Millisecond)
	}
	if tests < 4 || tests > 8 {
		t.Errorf("got %d tests of a zone whose targets fail for 10 s but can be reached, want 4 to 8", tests)
	}
	d.Observe(d.now, a, false)
	if !d.Calm() {
		t.Error("got a suspicion after the targets failed no more, want none")
	}
}

// TestReturnIsGradual checks that requests go back to the targets in steps, and that a
// return that fails ends them at once.
func TestReturnIsGradual(t *testing.T) {
	t.Parallel()
	d := newDetector()
	d.Observe(d.now, a, true)
	d.test(0, 3)
	wantChange(t, "some connections", d.test(2, 3), reach.Unchanged)
	wantChange(t, "all connections", d.test(3, 0), reach.Returning)
	var shares []int
	for range 8 {
		direct := 0
		for i := range 64 {
			if d.Direct(a, float64(i)/64) {
				direct++
			}
		}
		shares = append(shares, direct)
		d.pass(250 * time.Millisecond)
		if d.Observe(d.now, a, false) == reach.Returned {
			break
		}
	}
	if want := []int{8, 16, 32}; !slices.Equal(shares, want) {
		t.Errorf("got %v of 64 requests direct, step by step, want %v", shares, want)
	}
	if !d.Calm() {
		t.Error("got a suspicion after the return, want none")
	}
}

func TestFailedReturn(t *testing.T) {
	t.Parallel()
	d := newDetector()
	d.Observe(d.now, a, true)
	d.test(0, 3)
	d.test(3, 3)
	d.pass(300 * time.Millisecond)
	d.Observe(d.now, a, true)
	if due := d.DueTests(d.now); !slices.Equal(due, []magnoliashore.ZoneName{a}) {
		t.Errorf("got tests of %v once targets fail during the return, want one at once", due)
	}
	wantChange(t, "the test fails", d.test(0, 3), reach.CutBegan)
	d.pass(time.Second)
	if due := d.DueTests(d.now); due != nil {
		t.Errorf("got tests of %v a second after a return that failed, want a longer pause", due)
	}
}

// TestReliability checks that failures are not reported to other hosts before a test
// has shown that this host can connect.
func TestReliability(t *testing.T) {
	t.Parallel()
	d := newDetector()
	want := func(what string, reliable bool) {
		t.Helper()
		if got := d.Reliable(a); got != reliable {
			t.Errorf("%s: got reliable %t, want %t", what, got, reliable)
		}
	}
	want("calm", true)
	d.Observe(d.now, a, true)
	want("before the test", false)
	d.test(0, 0)
	want("no connection", false)
	d.test(1, 3)
	want("a connection", true)
	d.test(0, 3)
	want("cut", false)
}
