package proof

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

// Times of the disturbances.
const (
	shortFreeze  = 150 * time.Millisecond // below the deadline of the requests
	longFreeze   = 900 * time.Millisecond // above it
	disturbPause = 100 * time.Millisecond
)

// small is the small cell of the failure tests: few services, so that
// each target gets many requests.
func small() standin.Shape { return standin.Kovacic(0.05) }

// disturb lets one fault follow the other until the end, each kind once in a
// round, in random order.
func disturb(c *cell, random *rand.Rand, end time.Time) {
	kinds := []func(*cell, *rand.Rand){killAndRun, freezeShort, freezeLong, cutLink, holdLink, restartTargets, drainTargets}
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

func killAndRun(c *cell, random *rand.Rand) {
	s := c.anySeat(random)
	s.kill()
	time.Sleep(disturbPause)
	c.run(s)
}

func freezeShort(c *cell, random *rand.Rand) { freezeFor(c.anySeat(random), shortFreeze) }

func freezeLong(c *cell, random *rand.Rand) { freezeFor(c.anySeat(random), longFreeze) }

func freezeFor(s *seat, length time.Duration) {
	s.freeze()
	time.Sleep(length)
	s.thaw()
}

func cutLink(c *cell, random *rand.Rand) {
	ruleFor(c, random, rule{refuse: true})
}

func holdLink(c *cell, random *rand.Rand) {
	ruleFor(c, random, rule{holdTo: random.IntN(2) == 0, holdOff: true})
}

// ruleFor sets a rule on the connections from one seat to another for a while.
func ruleFor(c *cell, random *rand.Rand, now rule) {
	i := random.IntN(len(c.seats))
	j := (i + 1 + random.IntN(len(c.seats)-1)) % len(c.seats)
	from, to := string(c.seats[i].host), c.seats[j].relay
	to.set(from, now)
	time.Sleep(2 * shortFreeze)
	to.set(from, rule{})
}

func restartTargets(c *cell, random *rand.Rand) {
	for range 3 {
		c.fleet.Targets[random.IntN(len(c.fleet.Targets))].Restart()
		time.Sleep(disturbPause)
	}
}

// drainTargets lets every target refuse for a while.
func drainTargets(c *cell, _ *rand.Rand) {
	for _, target := range c.fleet.Targets {
		target.Drain()
	}
	time.Sleep(disturbPause)
	for _, target := range c.fleet.Targets {
		target.Undrain()
	}
}
