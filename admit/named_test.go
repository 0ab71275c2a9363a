package admit_test

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/admit"
)

// TestNamedLimitsOutOfOrder guards against a limit that a late answer ends too
// early or brings back. Times are in seconds.
func TestNamedLimitsOutOfOrder(t *testing.T) {
	t.Parallel()
	type answer struct {
		sent, at float64
		rate     float64 // zero: the answer names no limit
		want     admit.LimitChange
	}
	for _, test := range []struct {
		name    string
		answers []answer
		want    float64 // zero: no limit at the end
	}{
		{"never named", []answer{{0, 1, 0, admit.LimitUnchanged}}, 0},
		{"named", []answer{{0, 1, 20, admit.LimitBegan}, {1, 2, 20, admit.LimitUnchanged}}, 20},
		{"changed", []answer{{0, 1, 20, admit.LimitBegan}, {1, 2, 10, admit.LimitMoved}}, 10},
		{"ended", []answer{{0, 1, 20, admit.LimitBegan}, {1.5, 2, 0, admit.LimitEnded}, {2, 3, 0, admit.LimitUnchanged}}, 0},
		{"not ended by an earlier request", []answer{{0, 1, 20, admit.LimitBegan}, {0.5, 2, 0, admit.LimitUnchanged}}, 20},
		{"not brought back by an earlier request", []answer{{0, 1, 20, admit.LimitBegan}, {1.5, 2, 0, admit.LimitEnded}, {1.8, 3, 20, admit.LimitUnchanged}}, 0},
		{"named again", []answer{{0, 1, 20, admit.LimitBegan}, {1.5, 2, 0, admit.LimitEnded}, {2.5, 3, 15, admit.LimitBegan}}, 15},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			start := time.Unix(1000, 0)
			at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
			var limits admit.NamedLimits
			for i, a := range test.answers {
				if got := limits.Observe(at(a.at), at(a.sent), "t", a.rate, a.rate > 0); got != a.want {
					t.Errorf("answer %d: got %q, want %q", i, got, a.want)
				}
			}
			if limit, _ := limits.Limit("t"); limit.Rate() != test.want {
				t.Errorf("got limit %v, want %v", limit.Rate(), test.want)
			}
		})
	}
}
