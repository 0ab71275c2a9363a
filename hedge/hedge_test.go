package hedge

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const ms = time.Millisecond

func newTestAdaptive() *Adaptive {
	return New(Config{Quantile: 0.95, Share: 0.05, Burst: 10, MinSamples: 100})
}

// observe records n latencies that cycle through 1 to 100 times unit.
func observe(a *Adaptive, n int, unit time.Duration) {
	for i := range n {
		a.Observe("x", time.Duration(i%100+1)*unit)
	}
}

// checkDelay checks that the delay is within 2% of want; zero means no delay.
func checkDelay(t *testing.T, name string, a *Adaptive, want time.Duration) {
	t.Helper()
	got, ok := a.Delay("x")
	if ok != (want > 0) || (got-want).Abs() > want/50 {
		t.Errorf("%s: got %v and %v, want %v", name, got, ok, want)
	}
}

func TestDelay(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		quantile   float64
		minSamples int
		minDelay   time.Duration
		slow, fast int // numbers of samples: first of 20 ms to 2 s, then of 1 to 100 ms
		want       time.Duration
	}{
		{"no samples", 0.95, 100, 0, 0, 0, 0},
		{"too few samples", 0.95, 100, 0, 0, 99, 0},
		{"minimum", 0.95, 100, 0, 0, 100, 95 * ms},
		{"many", 0.95, 100, 0, 0, 5000, 95 * ms},
		{"median", 0.5, 100, 0, 0, 500, 50 * ms},
		{"minimum delay", 0.95, 100, time.Second, 0, 500, time.Second},
		{"minimum above window", 0.95, 3000, 0, 0, 2999, 0},
		{"minimum above window reached", 0.95, 3000, 0, 0, 3000, 95 * ms},
		{"old samples forgotten", 0.95, 100, 0, 1000, 2 * windowSamples, 95 * ms},
		{"old samples kept", 0.75, 100, 0, 1000, 12, 1480 * ms},
		{"limited by the median", 0.95, 100, 0, 1000, 12, 2 * 940 * ms},
	} {
		a := New(Config{Quantile: test.quantile, MinSamples: test.minSamples, MinDelay: test.minDelay})
		observe(a, test.slow, 20*ms)
		observe(a, test.fast, ms)
		checkDelay(t, test.name, a, test.want)
	}
	for latency, want := range map[time.Duration]time.Duration{-1: 0, 0: time.Microsecond, time.Hour: time.Minute} {
		a := newTestAdaptive()
		for range 100 {
			a.Observe("x", latency)
		}
		checkDelay(t, latency.String(), a, want)
	}
}

// TestBudgetBound earns and takes at random: the extra sub-requests must never
// exceed the share of the first ones, nor the burst in a row. A share above 1
// counts as 1.
func TestBudgetBound(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	for _, share := range []float64{0, 0.001, 0.05, 0.3, 1, 9} {
		b := NewBudget(share, 7)
		share = min(share, 1)
		first, extra, asked := 0, 0, 0
		for range 20_000 {
			n := rng.IntN(30)
			b.Earn(n)
			first += n
			inRow := 0
			for rng.IntN(3) > 0 {
				asked++
				if b.Take() {
					inRow++
				}
			}
			extra += inRow
			if float64(extra) > share*float64(first) || inRow > 7 {
				t.Fatalf("share %v: got %d extra, %d in a row, for %d first", share, extra, inRow, first)
			}
		}
		if got, want := float64(extra), min(share*float64(first), float64(asked))*0.8; got < want {
			t.Errorf("share %v: got %v extra, want at least %v", share, got, want)
		}
	}
}

func TestBudgetAccumulatesUpToBurst(t *testing.T) {
	t.Parallel()
	for earn, want := range map[int]int{0: 0, -5: 0, 19: 0, 20: 1, 100: 5, 300: 10, 1 << 62: 10} {
		b := NewBudget(0.05, 10)
		b.Earn(earn)
		got := 0
		for b.Take() {
			got++
		}
		if got != want {
			t.Errorf("%d earned: got %d, want %d", earn, got, want)
		}
	}
}

func TestBudgetIsShared(t *testing.T) {
	t.Parallel()
	b := NewBudget(0.1, 5)
	a := New(Config{Budget: b})
	a.Sent(20)
	got := [3]bool{a.Take(), b.Take(), a.Take()}
	if want := [3]bool{true, true, false}; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestOff(t *testing.T) {
	t.Parallel()
	var h magnoliashore.Hedger = Off{}
	h.Sent(1000)
	h.Observe("x", time.Second)
	if _, got := h.Delay("x"); got || h.Take() {
		t.Error("got a delay or an extra sub-request, want none")
	}
}

// TestConcurrentUse exercises concurrent calls for the race detector.
func TestConcurrentUse(t *testing.T) {
	t.Parallel()
	a := newTestAdaptive()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 300 {
				a.Sent(1)
				a.Observe("x", ms)
				a.Delay("x")
				a.Take()
			}
		})
	}
	group.Wait()
	checkDelay(t, "delay", a, ms)
}

func BenchmarkObserveDelay(b *testing.B) {
	a := newTestAdaptive()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a.Observe("x", ms)
			a.Delay("x")
		}
	})
}
