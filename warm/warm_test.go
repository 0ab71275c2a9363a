package warm

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"pgregory.net/rapid"
)

const (
	testFresh = time.Second
	testTook  = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

func testConfig() Config {
	return Config{Cold: 1, Slots: 3, Fresh: testFresh, Jump: 3, Sheds: 2, Steps: 2}
}

// script applies events to a belief from now on, 1 ms apart, and returns the
// time of the last. One letter each: c connected,
// l lost, h healthy reply, s slow reply, r refused for load, k reply that says
// cold, e broken reply, b healthy reply of another process, n hint cold,
// o hint warm, w wait for Fresh, p wait just longer than Fresh.
func script(b *Belief, now time.Time, events string) time.Time {
	learn := func(e magnoliashore.Evidence) { b.Learn(now, e) }
	for _, event := range events {
		now = now.Add(time.Millisecond)
		switch event {
		case 'c':
			b.Connected(now)
		case 'l':
			b.Lost(now)
		case 'h':
			learn(magnoliashore.Evidence{Healthy: true, Took: testTook, Incarnation: "a"})
		case 's':
			learn(magnoliashore.Evidence{Healthy: true, Took: 4 * testTook, Incarnation: "a"})
		case 'r':
			learn(magnoliashore.Evidence{Shed: true})
		case 'k':
			learn(magnoliashore.Evidence{Healthy: true, Cold: true, Took: testTook})
		case 'e':
			learn(magnoliashore.Evidence{})
		case 'b':
			learn(magnoliashore.Evidence{Healthy: true, Took: testTook, Incarnation: "b"})
		case 'n', 'o':
			b.Hint(now, event == 'n')
		case 'w':
			now = now.Add(testFresh - time.Millisecond)
		case 'p':
			now = now.Add(testFresh)
		}
	}
	return now
}

func TestBelief(t *testing.T) {
	t.Parallel()
	tests := []struct {
		events string
		limit  int
		cold   bool
		why    string
	}{
		{"", 1, true, "new"},
		{"hhhh", 1, true, "new"},
		{"c", 1, true, "new"},
		{"ch", 1, true, "new"},
		{"chh", 2, true, "new"},
		{"chhh", 2, true, "new"},
		{"chhhh", 3, false, "new"},
		{"chhhhc", 3, false, "new"},
		{"chehehh", 3, false, "new"},
		{"chhhhl", 1, true, "lost"},
		{"chhhhlhhhh", 1, true, "lost"},
		{"chhhhlc", 1, true, "lost"},
		{"chhhhlchhhh", 3, false, "lost"},
		{"chhhhb", 1, true, "restart"},
		{"chhhhbb", 2, true, "restart"},
		{"chhhhr", 3, false, "new"},
		{"chhhhrhr", 3, false, "new"},
		{"chhhhrr", 1, true, "shed"},
		{"chrh", 1, true, "new"},
		{"chhhhss", 3, false, "new"},
		{"chhhhsshss", 3, false, "new"},
		{"chhhhsss", 1, true, "latency"},
		{"chhhhsssssss", 3, false, "latency"},
		{"chhhhk", 1, true, "told"},
		{"chhhkkkk", 1, true, "told"},
		{"chhhhn", 1, true, "told"},
		{"chhhho", 3, false, "new"},
		{"chho", 2, true, "new"},
		{"chhhhw", 3, false, "new"},
		{"chhhhp", 1, true, "stale"},
		{"chhhhph", 1, true, "stale"},
		{"chhp", 1, true, "stale"},
		{"cp", 1, true, "new"},
	}
	for _, test := range tests {
		b := New(testConfig())
		now := script(b, start, test.events)
		if got, want := b.Cold(now), test.cold; got != want {
			t.Errorf("%q cold: got %v, want %v", test.events, got, want)
		}
		if got, want := b.Limit(now), test.limit; got != want {
			t.Errorf("%q limit: got %d, want %d", test.events, got, want)
		}
		if got, want := b.Why(), test.why; got != want {
			t.Errorf("%q why: got %q, want %q", test.events, got, want)
		}
	}
}

func TestBeliefWithColdEqualToSlots(t *testing.T) {
	t.Parallel()
	for events, want := range map[string]bool{"c": true, "ch": true, "chh": false, "chhk": true} {
		cfg := testConfig()
		cfg.Cold = cfg.Slots
		b := New(cfg)
		now := script(b, start, events)
		if got := b.Cold(now); got != want {
			t.Errorf("%q cold: got %v, want %v", events, got, want)
		}
		if got, want := b.Limit(now), cfg.Slots; got != want {
			t.Errorf("%q limit: got %d, want %d", events, got, want)
		}
	}
}

func TestResize(t *testing.T) {
	t.Parallel()
	tests := []struct {
		before      string
		cold, slots int
		limit       int
		isCold      bool
	}{
		{"chhhh", 1, 2, 2, false},
		{"chhhh", 1, 9, 3, false},
		{"chh", 1, 2, 2, true},
		{"chh", 3, 9, 3, true},
		{"c", 2, 2, 2, true},
		{"c", 5, 2, 2, true},
		{"c", 0, 0, 1, true},
	}
	for _, test := range tests {
		b := New(testConfig())
		now := script(b, start, test.before)
		b.Resize(test.cold, test.slots)
		if got, want := b.Limit(now), test.limit; got != want {
			t.Errorf("%+v limit: got %d, want %d", test, got, want)
		}
		if got, want := b.Cold(now), test.isCold; got != want {
			t.Errorf("%+v cold: got %v, want %v", test, got, want)
		}
	}
}

func TestResizeToLowerColdRestartsRamp(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.Cold, cfg.Slots = 4, 8
	b := New(cfg)
	now := script(b, start, "chh")
	b.Resize(1, 8)
	if got, want := b.Limit(now), 1; got != want {
		t.Errorf("limit: got %d, want %d", got, want)
	}
}

// TestBeliefBounds draws event sequences. At every moment the limit stays
// between cold and slots, rises only with a healthy reply over a standing
// connection and by one, and the target is cold without a connection.
func TestBeliefBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Cold = rapid.IntRange(1, 3).Draw(t, "cold")
		cfg.Slots = cfg.Cold + rapid.IntRange(0, 3).Draw(t, "more")
		b := New(cfg)
		connected := false
		limit := cfg.Cold
		now := start
		events := rapid.SliceOfN(rapid.SampledFrom([]rune("chhhhhhlsrkebnowp")), 1, 60).Draw(t, "events")
		for _, event := range events {
			now = script(b, now, string(event))
			connected = event == 'c' || connected && event != 'l'
			got := b.Limit(now)
			if got < cfg.Cold || got > cfg.Slots {
				t.Fatalf("limit: got %d, want %d to %d", got, cfg.Cold, cfg.Slots)
			}
			if got > limit && (got != limit+1 || !connected || event != 'h' && event != 'b' && event != 's') {
				t.Fatalf("limit rose from %d to %d after %q", limit, got, event)
			}
			if !connected && (!b.Cold(now) || got != cfg.Cold) {
				t.Fatalf("without a connection: limit %d, cold %v", got, b.Cold(now))
			}
			limit = got
		}
	})
}
