package proof

import (
	"flag"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// seedFlag makes the random choices of the tests repeatable; zero means a new
// seed in every run.
var seedFlag = flag.Uint64("seed", 0, "seed of the random choices; zero draws one")

// newRandom returns the random source of a test and prints its seed.
func newRandom(t *testing.T) *rand.Rand {
	t.Helper()
	seed := *seedFlag
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed: -seed %d", seed)
	name := fnv.New64a()
	_, _ = name.Write([]byte(t.Name()))
	return rand.New(rand.NewPCG(seed, name.Sum64()))
}
