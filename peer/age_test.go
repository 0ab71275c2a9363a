package peer

import (
	"testing"
	"time"
)

func TestAgeFindsWaitingMessages(t *testing.T) {
	t.Parallel()
	start := time.Now()
	skew := -3 * time.Second // the sender's clock is behind
	sent := func(at time.Duration) int64 { return start.Add(at + skew).UnixMicro() }
	for _, c := range []struct {
		name    string
		arrived time.Duration
		sent    time.Duration
		want    time.Duration
	}{
		{"prompt", 20 * time.Second, 20 * time.Second, 0},
		{"a little late", 20 * time.Second, 19900 * time.Millisecond, 0},
		{"waited through a freeze", 20 * time.Second, 12 * time.Second, 8 * time.Second},
	} {
		var age Age
		age.learn(start, sent(0))
		age.learn(start.Add(6*time.Second), sent(6*time.Second))
		age.learn(start.Add(20*time.Second), sent(12*time.Second))
		got := age.spent(start.Add(c.arrived), sent(c.sent)).Round(time.Millisecond)
		if got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestAgeForgivesAClockThatWasSet(t *testing.T) {
	t.Parallel()
	start := time.Now()
	jump := time.Hour
	var age Age
	age.learn(start, start.UnixMicro())
	for at := 6 * time.Second; at < 30*time.Second; at += 6 * time.Second {
		age.learn(start.Add(at+jump), start.Add(at).UnixMicro())
	}
	got := age.spent(start.Add(31*time.Second+jump), start.Add(31*time.Second).UnixMicro())
	if want := time.Duration(0); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
