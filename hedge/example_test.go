package hedge_test

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore/hedge"
)

func Example() {
	budget := hedge.NewBudget(0.05, 10)
	hedger := hedge.New(hedge.Config{
		Quantile: 0.95, MinSamples: 20, MinDelay: 5 * time.Millisecond, Budget: budget,
	})
	hedger.Sent(20)
	for range 20 {
		hedger.Observe("look1", 2*time.Millisecond)
	}
	fmt.Println(hedger.Delay("look1"))
	fmt.Println(hedger.Take(), hedger.Take())
	// Output:
	// 5ms true
	// true false
}
