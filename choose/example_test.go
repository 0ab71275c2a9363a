package choose_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/choose"
)

func Example() {
	chooser := choose.NewLeastLoaded(rand.New(rand.NewPCG(1, 2)))
	busy := magnoliashore.NewLoad(6, 2, 2, false, 20*time.Millisecond)
	idle := magnoliashore.NewLoad(0, 0, 2, false, 20*time.Millisecond)
	candidates := []magnoliashore.Candidate{
		{Target: "look1a", Load: busy, Known: true},
		{Target: "look1b", Load: idle, Known: true},
	}
	fmt.Println(candidates[chooser.Choose(candidates)].Target)
	// Output: look1b
}
