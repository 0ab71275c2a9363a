package proof

import (
	"flag"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// seedFlag makes the random choices of the tests repeatable.
var seedFlag = flag.Uint64("seed", 0, "seed of the random choices; zero picks a new one")

// newRandom returns the random source of a test and logs its seed.
func newRandom(t *testing.T) *rand.Rand {
	t.Helper()
	seed := *seedFlag
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed: -seed %d", seed)
	nameHash := fnv.New64a()
	_, _ = nameHash.Write([]byte(t.Name()))
	return rand.New(rand.NewPCG(seed, nameHash.Sum64()))
}
