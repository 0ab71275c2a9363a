package standin

import (
	"math"
	"time"
)

const (
	coldFactor = 3    // service time of a cold target over that of a warm one
	slowFactor = 10   // service time under the fault "slow" over the usual one
	sigma      = 0.25 // spread of the logarithm of the service time
)

// draw returns the service time of the next job.
func (c *core) draw() time.Duration {
	factor := math.Exp(sigma * c.random.NormFloat64())
	takes := time.Duration(float64(c.cfg.Latency) * factor)
	if c.random.Float64() < c.cfg.StragglerProbability {
		takes = c.cfg.StragglerLatency
	}
	if c.cold {
		takes *= coldFactor
	}
	if c.fault == FaultSlow {
		takes *= slowFactor
	}
	return takes
}

func (c *core) chill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold = true
	c.told = false
	c.completed = 0
}

func (c *core) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose(killedRestart)
}

func (c *core) setDrain(drain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain = drain
}

func (c *core) setSnapshots(snapshots []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshots = snapshots
}

func (c *core) setFault(fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

func (c *core) generationNow() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

func (c *core) incarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processName()
}

func (c *core) isCold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cold
}

func (c *core) peakCold() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak
}

// retryAfter estimates when a slot will be free.
func (c *core) retryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rounds := 1 + len(c.waiting)/c.cfg.Slots
	return c.cfg.Latency * time.Duration(rounds)
}

// report returns the truth about the target.
func (c *core) report() wireHealth {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := len(c.running)
	report := wireHealth{
		State:       stateName(c.cold),
		Busy:        busy,
		Slots:       c.cfg.Slots,
		Load:        float64(busy+len(c.waiting)) / float64(c.cfg.Slots),
		Incarnation: c.processName(),
	}
	if c.drain {
		report.State = stateDrain
	}
	return report
}

func stateName(cold bool) string {
	if cold {
		return stateCold
	}
	return stateWarm
}
