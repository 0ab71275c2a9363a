// Package choose provides the choice between the replicas that could serve a
// sub-request.
package choose

import (
	"math/rand/v2"
	"sync"

	"github.com/magnoliashore/magnoliashore"
)

// source is a random source that several goroutines may use.
type source struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// below returns a random number from 0 to n-1.
func (s *source) below(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// Random chooses every replica with the same probability. It is the baseline,
// implements magnoliashore.Chooser and is safe for concurrent use.
type Random struct{ source source }

var _ magnoliashore.Chooser = (*Random)(nil)

// NewRandom returns a Random that draws from rng, which nothing else may use.
func NewRandom(rng *rand.Rand) *Random {
	return &Random{source: source{rng: rng}}
}

// Choose returns the index of a random candidate.
func (r *Random) Choose(candidates []magnoliashore.Candidate) int {
	return r.source.below(len(candidates))
}
