package warm_test

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/warm"
)

func Example() {
	now := time.Unix(1000, 0)
	belief := warm.New(warm.Config{
		Cold: 1, Slots: 2, MaxAge: time.Second, SlowFactor: 4, ShedLimit: 3, RepliesPerStep: 2,
	})
	belief.Connected(now)
	fmt.Println(belief.Limit(now), belief.Cold(now))

	healthy := magnoliashore.Evidence{Healthy: true, Took: time.Millisecond}
	belief.Observe(now, healthy)
	belief.Observe(now, healthy)
	fmt.Println(belief.Limit(now), belief.Cold(now))

	later := now.Add(2 * time.Second)
	fmt.Println(belief.Limit(later), belief.Cold(later), belief.ColdReason())
	// Output:
	// 1 true
	// 2 false
	// 1 true stale
}
