package load

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestScheduleIsSeeded(t *testing.T) {
	t.Parallel()
	e := mustDecode(t, smallExperiment)
	first, again := schedule(e, 1), schedule(e, 1)
	if !reflect.DeepEqual(first, again) {
		t.Error("got different schedules from the same seed")
	}
	e.seed++
	if reflect.DeepEqual(first, schedule(e, 1)) {
		t.Error("got the same schedule from different seeds")
	}
}

func TestScheduleRate(t *testing.T) {
	t.Parallel()
	e := mustDecode(t, smallExperiment)
	e.warmup, e.length = 20*time.Second, 40*time.Second
	all := schedule(e, 3)
	if !slices.IsSortedFunc(all, func(a, b arrival) int { return int(a.at - b.at) }) {
		t.Error("the schedule is not in order of time")
	}
	arrivals := make([]int, len(e.groups))
	early := 0
	for _, a := range all {
		if a.at >= e.warmup {
			arrivals[a.group]++
		}
		if a.at < e.warmup/10 {
			early++
		}
	}
	for i, g := range e.groups {
		want := g.rate * 3 * e.length.Seconds()
		if got := float64(arrivals[i]); got < 0.9*want || got > 1.1*want {
			t.Errorf("group %s: got %v arrivals, want about %v", g.name, got, want)
		}
	}
	if limit := 100; early > limit {
		t.Errorf("first tenth of the warm-up: got %d arrivals, want at most %d", early, limit)
	}
}
