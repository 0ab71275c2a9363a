package choose_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/choose"
)

// known returns a candidate with a load report; latency is in milliseconds.
func known(queue, busy, limit int, cold bool, latency, sent int) magnoliashore.Candidate {
	load := magnoliashore.NewLoad(queue, busy, limit, cold, time.Duration(latency)*time.Millisecond)
	return magnoliashore.Candidate{Load: load, Known: true, Sent: sent}
}

func unknown(sent int) magnoliashore.Candidate {
	return magnoliashore.Candidate{Sent: sent}
}

// choiceCounts returns how often each candidate is chosen in 1000 choices.
func choiceCounts(c magnoliashore.Chooser, candidates []magnoliashore.Candidate) []int {
	counts := make([]int, len(candidates))
	for range 1000 {
		counts[c.Choose(candidates)]++
	}
	return counts
}

func TestLeastLoaded(t *testing.T) {
	t.Parallel()
	type list = []magnoliashore.Candidate
	tests := []struct {
		name       string
		candidates list
		want       int // the index, or -1 for a tie of all candidates
	}{
		{"one", list{known(9, 9, 1, true, 9, 9)}, 0},
		{"shorter queue", list{known(3, 2, 2, false, 10, 0), known(1, 2, 2, false, 10, 0)}, 1},
		{"more slots", list{known(1, 2, 2, false, 10, 0), known(1, 2, 4, false, 10, 0)}, 1},
		{"faster", list{known(0, 0, 2, false, 5, 0), known(0, 0, 2, false, 50, 0)}, 0},
		{"fewer in flight from here", list{known(0, 1, 2, false, 10, 3), known(0, 1, 2, false, 10, 2)}, 1},
		{"faster but queued", list{known(20, 2, 2, false, 5, 0), known(0, 0, 2, false, 20, 0)}, 1},
		{"busy before cold", list{known(0, 0, 2, true, 1, 0), known(20, 2, 2, false, 20, 0)}, 1},
		{"busy before limit zero", list{known(0, 0, 0, false, 1, 0), known(20, 2, 2, false, 20, 0)}, 1},
		{"unknown before cold", list{known(0, 0, 2, true, 5, 0), unknown(0)}, 1},
		{"unknown scored as the mean", list{known(0, 0, 2, false, 5, 0), unknown(0), known(9, 2, 2, false, 50, 0)}, 0},
		{"unknown before busier", list{known(8, 2, 2, false, 50, 9), unknown(0), known(9, 2, 2, false, 50, 9)}, 1},
		{"both unknown", list{unknown(2), unknown(1)}, 1},
		{"all cold", list{known(2, 1, 1, true, 5, 0), known(0, 1, 1, true, 5, 0)}, 1},
		{"unknown latency", list{known(0, 0, 2, false, 0, 0), known(5, 2, 2, false, 10, 0)}, 0},
		{"tie", list{known(1, 1, 2, false, 5, 0), known(1, 1, 2, false, 5, 0), known(0, 2, 2, false, 5, 0)}, -1},
		{"tie of unknown candidates", list{unknown(0), unknown(0)}, -1},
	}
	for _, test := range tests {
		counts := choiceCounts(choose.NewLeastLoaded(rand.New(rand.NewPCG(1, 2))), test.candidates)
		for i, got := range counts {
			want := 0
			switch test.want {
			case i:
				want = 1000
			case -1:
				want = 1000 / len(counts) * 3 / 4
			}
			if got < want {
				t.Errorf("%s: got candidate %d chosen %d times, want at least %d", test.name, i, got, want)
			}
		}
	}
}

func TestRandomChoosesAll(t *testing.T) {
	t.Parallel()
	counts := choiceCounts(choose.NewRandom(rand.New(rand.NewPCG(1, 2))), make([]magnoliashore.Candidate, 4))
	for i, got := range counts {
		if want := 200; got < want {
			t.Errorf("candidate %d: got %d, want at least %d", i, got, want)
		}
	}
}

// TestConcurrentChoices exercises concurrent calls for the race detector.
func TestConcurrentChoices(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	c := choose.NewLeastLoaded(rng)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { choiceCounts(c, make([]magnoliashore.Candidate, 3)) })
	}
	group.Wait()
}
