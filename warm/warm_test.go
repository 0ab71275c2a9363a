package warm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	testMaxAge = time.Second
	testTook   = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

func testTracker(cold, slots int) *Tracker {
	return New(Config{ColdLimit: cold, Slots: slots, MaxAge: testMaxAge, SlowFactor: 3, ShedLimit: 2, RepliesPerStep: 2})
}

// applyEvents applies events to a tracker, 1 ms apart and starting 1 ms after
// now, and returns the time of the last. Each letter is an event: c connected,
// l lost, n hint cold, o hint warm, w wait for testMaxAge since the last event,
// p wait for 1 ms more than that. The other letters are replies, see evidence.
func applyEvents(tracker *Tracker, now time.Time, events string) time.Time {
	evidence := map[rune]magnoliashore.Evidence{
		'h': {Healthy: true, Latency: testTook, Incarnation: "a"},
		's': {Healthy: true, Latency: 4 * testTook, Incarnation: "a"}, // slow
		'r': {Shed: true},
		'k': {Healthy: true, Cold: true, Latency: testTook},
		'e': {}, // broken
		'b': {Healthy: true, Latency: testTook, Incarnation: "b"},
	}
	for _, event := range events {
		now = now.Add(time.Millisecond)
		switch event {
		case 'c':
			tracker.Connected(now)
		case 'l':
			tracker.Lost(now)
		case 'n', 'o':
			tracker.Hint(now, event == 'n')
		case 'w':
			now = now.Add(testMaxAge - time.Millisecond)
		case 'p':
			now = now.Add(testMaxAge)
		default:
			tracker.Observe(now, evidence[event])
		}
	}
	return now
}

// state returns the limit, whether the target is cold, and the reason why it last
// became cold.
func state(tracker *Tracker, now time.Time) string {
	return fmt.Sprint(tracker.Limit(now), tracker.Cold(now), " ", tracker.ColdReason())
}

func TestTracker(t *testing.T) {
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
			tracker := testTracker(1, 3)
			if got := state(tracker, applyEvents(tracker, start, events)); got != want {
				t.Errorf("%q: got %s, want %s", events, got, want)
			}
		}
	}
}

func TestResize(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		tracker     *Tracker
		events      string
		cold, slots int
		want        string
	}{
		{testTracker(1, 3), "chhhh", 1, 2, "2 false new"},
		{testTracker(1, 3), "chhhh", 1, 9, "3 false new"},
		{testTracker(1, 3), "chh", 1, 2, "2 true new"},
		{testTracker(1, 3), "chh", 3, 9, "3 true new"},
		{testTracker(1, 3), "c", 2, 2, "2 true new"},
		{testTracker(1, 3), "c", 5, 2, "2 true new"},
		{testTracker(1, 3), "c", 0, 0, "1 true new"},
		{testTracker(4, 8), "chh", 1, 8, "1 true new"},
		{testTracker(3, 3), "c", 3, 3, "3 true new"},
		{testTracker(3, 3), "ch", 3, 3, "3 true new"},
		{testTracker(3, 3), "chh", 3, 3, "3 false new"},
		{testTracker(3, 3), "chhk", 3, 3, "3 true told"},
	} {
		now := applyEvents(test.tracker, start, test.events)
		test.tracker.Resize(test.cold, test.slots)
		if got := state(test.tracker, now); got != test.want {
			t.Errorf("%q to %d and %d: got %s, want %s", test.events, test.cold, test.slots, got, test.want)
		}
	}
}

// TestLimitBounds applies random events. After each, the limit must be between
// cold and slots, must have risen by at most one, and only after a valid reply
// over an open connection. Without a connection the target must be cold.
func TestLimitBounds(t *testing.T) {
	t.Parallel()
	const events = "chhhhhhhhhlsrkebnowp"
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		cold := 1 + rng.IntN(3)
		slots := cold + rng.IntN(4)
		tracker, now, connected, limit := testTracker(cold, slots), start, false, cold
		for range 60 {
			event := events[rng.IntN(len(events))]
			now = applyEvents(tracker, now, string(event))
			connected = event == 'c' || connected && event != 'l'
			got := tracker.Limit(now)
			valid := connected && (event == 'h' || event == 'b' || event == 's')
			if got > limit && (got != limit+1 || !valid) {
				t.Fatalf("limit rose from %d to %d after %q", limit, got, event)
			}
			if got < cold || got > slots || !connected && (got != cold || !tracker.Cold(now)) {
				t.Fatalf("got %s, connected %v; cold %d, slots %d", state(tracker, now), connected, cold, slots)
			}
			limit = got
		}
	}
}
