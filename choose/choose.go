// Package choose implements strategies to choose the replica that serves a
// sub-request.
package choose

import (
	"math/rand/v2"
	"sync"

	"github.com/magnoliashore/magnoliashore"
)

// source is a random source that is safe for concurrent use.
type source struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// intN returns a random number in [0, n).
func (s *source) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// Random chooses every replica with the same probability. It serves as a
// baseline, implements magnoliashore.Chooser and is safe for concurrent use.
type Random struct{ source source }

var _ magnoliashore.Chooser = (*Random)(nil)

// NewRandom returns a Random that draws from rng. Nothing else may use rng
// afterwards.
func NewRandom(rng *rand.Rand) *Random {
	return &Random{source: source{rng: rng}}
}

// Choose returns the index of a random candidate.
func (r *Random) Choose(candidates []magnoliashore.Candidate) int {
	return r.source.intN(len(candidates))
}
