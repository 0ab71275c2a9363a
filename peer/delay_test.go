package peer

import (
	"testing"
	"time"
)

func TestDelayOfWaitingMessages(t *testing.T) {
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
		{"waited while the process was frozen", 20 * time.Second, 12 * time.Second, 8 * time.Second},
	} {
		var estimator DelayEstimator
		estimator.observe(start, sent(0))
		estimator.observe(start.Add(6*time.Second), sent(6*time.Second))
		estimator.observe(start.Add(20*time.Second), sent(12*time.Second))
		got := estimator.delay(start.Add(c.arrived), sent(c.sent)).Round(time.Millisecond)
		if got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestDelayAfterClockWasSet(t *testing.T) {
	t.Parallel()
	start := time.Now()
	jump := time.Hour
	var estimator DelayEstimator
	estimator.observe(start, start.UnixMicro())
	for at := 6 * time.Second; at < 30*time.Second; at += 6 * time.Second {
		estimator.observe(start.Add(at+jump), start.Add(at).UnixMicro())
	}
	got := estimator.delay(start.Add(31*time.Second+jump), start.Add(31*time.Second).UnixMicro())
	if want := time.Duration(0); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
