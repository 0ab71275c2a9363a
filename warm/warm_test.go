package warm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	testFresh = time.Second
	testTook  = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

func testBelief(cold, slots int) *Tracker {
	return New(Config{Cold: cold, Slots: slots, MaxAge: testFresh, SlowFactor: 3, ShedLimit: 2, RepliesPerStep: 2})
}

// script applies events to a belief from now on, 1 ms apart, and returns the
// time of the last. One letter each: c connected, l lost, n hint cold, o hint
// warm, w wait for Fresh, p wait just longer, and the replies of evidence.
func script(b *Tracker, now time.Time, events string) time.Time {
	evidence := map[rune]magnoliashore.Evidence{
		'h': {Healthy: true, Took: testTook, Incarnation: "a"},
		's': {Healthy: true, Took: 4 * testTook, Incarnation: "a"}, // slow
		'r': {Shed: true},
		'k': {Healthy: true, Cold: true, Took: testTook},
		'e': {}, // broken
		'b': {Healthy: true, Took: testTook, Incarnation: "b"},
	}
	for _, event := range events {
		now = now.Add(time.Millisecond)
		switch event {
		case 'c':
			b.Connected(now)
		case 'l':
			b.Lost(now)
		case 'n', 'o':
			b.Hint(now, event == 'n')
		case 'w':
			now = now.Add(testFresh - time.Millisecond)
		case 'p':
			now = now.Add(testFresh)
		default:
			b.Observe(now, evidence[event])
		}
	}
	return now
}

// state returns the limit, whether the target is cold, and why it was last.
func state(b *Tracker, now time.Time) string {
	return fmt.Sprint(b.Limit(now), b.Cold(now), " ", b.ColdReason())
}

func TestBelief(t *testing.T) {
	t.Parallel()
	for want, scripts := range map[string][]string{
		"1 true new":      {"", "hhhh", "c", "ch", "chrh", "cp"},
		"2 true new":      {"chh", "chhh", "chho"},
		"3 false new":     {"chhhh", "chhhhc", "chehehh", "chhhhr", "chhhhrhr", "chhhhss", "chhhhsshss", "chhhho", "chhhhw"},
		"1 true lost":     {"chhhhl", "chhhhlhhhh", "chhhhlc"},
		"3 false lost":    {"chhhhlchhhh"},
		"1 true restart":  {"chhhhb"},
		"2 true restart":  {"chhhhbb"},
		"1 true shed":     {"chhhhrr"},
		"1 true latency":  {"chhhhsss"},
		"3 false latency": {"chhhhsssssss"},
		"1 true told":     {"chhhhk", "chhhkkkk", "chhhhn"},
		"1 true stale":    {"chhhhp", "chhhhph", "chhp"},
	} {
		for _, events := range scripts {
			b := testBelief(1, 3)
			if got := state(b, script(b, start, events)); got != want {
				t.Errorf("%q: got %s, want %s", events, got, want)
			}
		}
	}
}

func TestResize(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		before      *Tracker
		events      string
		cold, slots int
		want        string
	}{
		{testBelief(1, 3), "chhhh", 1, 2, "2 false new"},
		{testBelief(1, 3), "chhhh", 1, 9, "3 false new"},
		{testBelief(1, 3), "chh", 1, 2, "2 true new"},
		{testBelief(1, 3), "chh", 3, 9, "3 true new"},
		{testBelief(1, 3), "c", 2, 2, "2 true new"},
		{testBelief(1, 3), "c", 5, 2, "2 true new"},
		{testBelief(1, 3), "c", 0, 0, "1 true new"},
		{testBelief(4, 8), "chh", 1, 8, "1 true new"},
		{testBelief(3, 3), "c", 3, 3, "3 true new"},
		{testBelief(3, 3), "ch", 3, 3, "3 true new"},
		{testBelief(3, 3), "chh", 3, 3, "3 false new"},
		{testBelief(3, 3), "chhk", 3, 3, "3 true told"},
	} {
		now := script(test.before, start, test.events)
		test.before.Resize(test.cold, test.slots)
		if got := state(test.before, now); got != test.want {
			t.Errorf("%q to %d and %d: got %s, want %s", test.events, test.cold, test.slots, got, test.want)
		}
	}
}

// TestBounds draws events. At every moment the limit stays between cold and
// slots, rises only with a valid reply over a standing connection and by one,
// and the target is cold without a connection.
func TestBounds(t *testing.T) {
	t.Parallel()
	const events = "chhhhhhhhhlsrkebnowp"
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		cold := 1 + rng.IntN(3)
		slots := cold + rng.IntN(4)
		b, now, connected, limit := testBelief(cold, slots), start, false, cold
		for range 60 {
			event := events[rng.IntN(len(events))]
			now = script(b, now, string(event))
			connected = event == 'c' || connected && event != 'l'
			got := b.Limit(now)
			valid := connected && (event == 'h' || event == 'b' || event == 's')
			if got > limit && (got != limit+1 || !valid) {
				t.Fatalf("limit rose from %d to %d after %q", limit, got, event)
			}
			if got < cold || got > slots || !connected && (got != cold || !b.Cold(now)) {
				t.Fatalf("got %s, connected %v; cold %d, slots %d", state(b, now), connected, cold, slots)
			}
			limit = got
		}
	}
}
