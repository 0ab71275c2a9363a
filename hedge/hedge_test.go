package hedge

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func testConfig() Config {
	return Config{Quantile: 0.95, Share: 0.05, Burst: 10, Least: 100}
}

// observe records n latencies from 1 to 100 times unit, in turn.
func observe(l *Learnt, n int, unit time.Duration) {
	for i := range n {
		l.Observe("x", time.Duration(i%100+1)*unit)
	}
}

// near reports whether got is within 2% of want.
func near(got, want time.Duration) bool {
	return (got - want).Abs() <= want/50
}

func TestDelay(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(*Config)
		slow   int // samples around 1 s
		fast   int // samples around 50 ms after them
		want   time.Duration
		ok     bool
	}{
		{name: "nothing known"},
		{name: "too few", fast: 99},
		{name: "least", fast: 100, want: 95 * time.Millisecond, ok: true},
		{name: "many", fast: 5000, want: 95 * time.Millisecond, ok: true},
		{name: "median", change: func(c *Config) { c.Quantile = 0.5 }, fast: 500, want: 50 * time.Millisecond, ok: true},
		{name: "floor", change: func(c *Config) { c.Floor = time.Second }, fast: 500, want: time.Second, ok: true},
		{name: "least above window", change: func(c *Config) { c.Least = 3000 }, fast: 2999},
		{name: "least above window reached", change: func(c *Config) { c.Least = 3000 }, fast: 3000, want: 95 * time.Millisecond, ok: true},
		{name: "old samples forgotten", slow: 1000, fast: 2 * windowSamples, want: 95 * time.Millisecond, ok: true},
		{name: "old samples kept", slow: 1000, fast: 100, want: 1900 * time.Millisecond, ok: true},
	}
	for _, test := range tests {
		cfg := testConfig()
		if test.change != nil {
			test.change(&cfg)
		}
		l := New(cfg)
		observe(l, test.slow, 20*time.Millisecond)
		observe(l, test.fast, time.Millisecond)
		got, ok := l.Delay("x")
		if ok != test.ok {
			t.Errorf("%s: got %v, want %v", test.name, ok, test.ok)
		}
		if !near(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestDelayOfExtremes(t *testing.T) {
	t.Parallel()
	for latency, want := range map[time.Duration]time.Duration{
		0:         time.Microsecond,
		time.Hour: time.Minute,
	} {
		l := New(testConfig())
		l.Observe("x", -1)
		for range 100 {
			l.Observe("x", latency)
		}
		if got, ok := l.Delay("x"); !ok || !near(got, want) {
			t.Errorf("latency %v: got %v and %v, want %v", latency, got, ok, want)
		}
	}
}

// TestBudgetBound draws earnings and takings: the extra sub-requests never
// exceed the share of the first ones, nor the burst after a long quiet.
func TestBudgetBound(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	for _, share := range []float64{0, 0.001, 0.05, 0.3, 1} {
		b := NewBudget(share, 7)
		first, extra, asked := 0, 0, 0
		for range 20_000 {
			n := rng.IntN(30)
			b.Earn(n)
			first += n
			row := 0
			for rng.IntN(3) > 0 {
				asked++
				if !b.Take() {
					break
				}
				extra++
				row++
			}
			if row > 7 {
				t.Fatalf("share %v: got %d in a row, want at most 7", share, row)
			}
			if float64(extra) > share*float64(first) {
				t.Fatalf("share %v: got %d extra for %d first", share, extra, first)
			}
		}
		if got, want := float64(extra), min(share*float64(first), float64(asked))*0.8; got < want {
			t.Errorf("share %v: got %v extra, want at least %v", share, got, want)
		}
	}
}

func TestBudgetSavesUpToBurst(t *testing.T) {
	t.Parallel()
	tests := []struct {
		share       float64
		burst, earn int
		want        int
	}{
		{0.05, 10, 0, 0},
		{0.05, 10, -5, 0},
		{0.05, 10, 19, 0},
		{0.05, 10, 20, 1},
		{0.05, 10, 100, 5},
		{0.05, 10, 1 << 62, 10},
		{0.05, 0, 1000, 0},
		{0, 10, 1000, 0},
		{9, 10, 3, 3},
	}
	for _, test := range tests {
		b := NewBudget(test.share, test.burst)
		b.Earn(test.earn)
		got := 0
		for b.Take() {
			got++
		}
		if want := test.want; got != want {
			t.Errorf("%+v: got %d, want %d", test, got, want)
		}
	}
}

func TestBudgetIsShared(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.Budget = NewBudget(0.1, 5)
	l := New(cfg)
	l.Sent(20)
	for i, want := range []bool{true, true, false} {
		take := l.Take
		if i%2 == 1 {
			take = cfg.Budget.Take
		}
		if got := take(); got != want {
			t.Errorf("take %d: got %v, want %v", i, got, want)
		}
	}
}

func TestOff(t *testing.T) {
	t.Parallel()
	var h magnoliashore.Hedger = Off{}
	h.Sent(1000)
	h.Observe("x", time.Second)
	if _, got := h.Delay("x"); got {
		t.Error("delay: got one, want none")
	}
	if got := h.Take(); got {
		t.Error("take: got true, want false")
	}
}

// TestConcurrentUse is for the race detector.
func TestConcurrentUse(t *testing.T) {
	t.Parallel()
	l := New(testConfig())
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 300 {
				l.Sent(1)
				l.Observe("x", time.Millisecond)
				l.Delay("x")
				l.Take()
			}
		})
	}
	group.Wait()
	if got, ok := l.Delay("x"); !ok || !near(got, time.Millisecond) {
		t.Errorf("delay: got %v and %v, want about 1ms", got, ok)
	}
}

func BenchmarkObserveDelay(b *testing.B) {
	l := New(testConfig())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Observe("x", time.Millisecond)
			l.Delay("x")
		}
	})
}
