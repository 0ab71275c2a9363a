package warm_test

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/warm"
)

func Example() {
	now := time.Unix(1000, 0)
	tracker := warm.New(warm.Config{
		ColdLimit: 1, Slots: 2, MaxAge: time.Second, SlowFactor: 4, ShedLimit: 3, RepliesPerStep: 2,
	})
	tracker.Connected(now)
	fmt.Println(tracker.Limit(now), tracker.Cold(now))

	healthy := magnoliashore.Evidence{Healthy: true, Latency: time.Millisecond}
	tracker.Observe(now, healthy)
	tracker.Observe(now, healthy)
	fmt.Println(tracker.Limit(now), tracker.Cold(now))

	later := now.Add(2 * time.Second)
	fmt.Println(tracker.Limit(later), tracker.Cold(later), tracker.ColdReason())
	// Output:
	// 1 true
	// 2 false
	// 1 true stale
}
