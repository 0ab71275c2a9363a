package proof

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

// Durations of the faults.
const (
	shortFreeze  = 150 * time.Millisecond // shorter than the deadline of the requests
	longFreeze   = 900 * time.Millisecond // longer than that deadline
	disturbPause = 100 * time.Millisecond // pause between faults and between their steps
)

// small returns the shape of a small cell. It has few services, so that each
// target receives many requests.
func small() standin.Shape { return standin.Kovacic(0.05) }

// disturb injects one fault after another until the end, in rounds that contain
// each kind of fault once, in random order.
func disturb(c *cell, random *rand.Rand, end time.Time) {
	kinds := []func(*cell, *rand.Rand){killAndRestart, freezeShort, freezeLong, cutLink, holdLink, restartTargets, drainTargets}
	for {
		random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, fault := range kinds {
			if time.Now().After(end) {
				return
			}
			fault(c, random)
			time.Sleep(disturbPause)
		}
	}
}

func (c *cell) anySeat(random *rand.Rand) *seat { return c.seats[random.IntN(len(c.seats))] }

func killAndRestart(c *cell, random *rand.Rand) {
	s := c.anySeat(random)
	s.kill()
	time.Sleep(disturbPause)
	c.startProcess(s)
}

func freezeShort(c *cell, random *rand.Rand) { freezeFor(c.anySeat(random), shortFreeze) }

func freezeLong(c *cell, random *rand.Rand) { freezeFor(c.anySeat(random), longFreeze) }

func freezeFor(s *seat, length time.Duration) {
	s.freeze()
	time.Sleep(length)
	s.resume()
}

func cutLink(c *cell, random *rand.Rand) {
	applyRule(c, random, rule{refuse: true})
}

func holdLink(c *cell, random *rand.Rand) {
	applyRule(c, random, rule{holdRequests: random.IntN(2) == 0, holdReplies: true})
}

// applyRule applies a rule to the connections from one random seat to another for
// 2*shortFreeze.
func applyRule(c *cell, random *rand.Rand, newRule rule) {
	i := random.IntN(len(c.seats))
	j := (i + 1 + random.IntN(len(c.seats)-1)) % len(c.seats)
	from, to := string(c.seats[i].host), c.seats[j].relay
	to.set(from, newRule)
	time.Sleep(2 * shortFreeze)
	to.set(from, rule{})
}

func restartTargets(c *cell, random *rand.Rand) {
	for range 3 {
		c.fleet.Targets[random.IntN(len(c.fleet.Targets))].Restart()
		time.Sleep(disturbPause)
	}
}

// drainTargets makes every target refuse requests for disturbPause.
func drainTargets(c *cell, _ *rand.Rand) {
	for _, target := range c.fleet.Targets {
		target.Drain()
	}
	time.Sleep(disturbPause)
	for _, target := range c.fleet.Targets {
		target.Undrain()
	}
}
