package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/admit"
)

// TestColdLimitHoldsForAllHosts sends as much as possible from all hosts to one
// cold target and checks that no second exceeds the target's limit.
func TestColdLimitHoldsForAllHosts(t *testing.T) {
	t.Parallel()
	limit := admit.ColdLimit{Overshoot: 1.5, Slack: 5}
	for _, test := range []struct {
		hosts int
		rate  float64
	}{{7, 2}, {7, 20}, {60, 2}, {60, 40}, {2, 0.5}} {
		t.Run(fmt.Sprintf("%d hosts, %.1f a second", test.hosts, test.rate), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(test.hosts), 3))
			hosts := make([]admit.ColdLimiter, test.hosts)
			for i := range hosts {
				hosts[i].Limit = limit
			}
			now := time.Unix(1000, 0)
			var sent []time.Time
			for range 30000 {
				now = now.Add(time.Duration(random.IntN(2000)) * time.Microsecond)
				rank := random.IntN(len(hosts))
				if hosts[rank].Allows(now, "t", test.rate, admit.Sharing{Hosts: test.hosts, Rank: rank}) {
					hosts[rank].Take("t")
					sent = append(sent, now)
				}
			}
			first := 0
			maxRequests := test.rate*limit.Overshoot + limit.Slack
			for i, sentAt := range sent {
				for sent[first].Before(sentAt.Add(-time.Second)) {
					first++
				}
				if got := i - first + 1; float64(got) > maxRequests {
					t.Fatalf("got %d requests in a second, want at most %.1f", got, maxRequests)
				}
			}
			if len(sent) < 10 {
				t.Errorf("got %d requests in 30 s, want at least 10", len(sent))
			}
		})
	}
}
