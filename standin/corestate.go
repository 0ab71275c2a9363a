package standin

import (
	"math"
	"time"
)

const (
	coldFactor   = 3    // multiplies the service time of a cold target
	slowFactor   = 10   // multiplies the service time under the fault "slow"
	latencySigma = 0.25 // standard deviation of the logarithm of the service time
)

// drawServiceTime draws the service time of the next job: log-normal around the
// configured latency, with occasional stragglers.
func (s *targetState) drawServiceTime() time.Duration {
	factor := math.Exp(latencySigma * s.random.NormFloat64())
	serviceTime := time.Duration(float64(s.cfg.Latency) * factor)
	if s.random.Float64() < s.cfg.StragglerProbability {
		serviceTime = s.cfg.StragglerLatency
	}
	if s.cold {
		serviceTime *= coldFactor
	}
	if s.fault == FaultSlow {
		serviceTime *= slowFactor
	}
	return serviceTime
}

func (s *targetState) chill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = true
	s.coldReported = false
	s.completedCold = 0
}

func (s *targetState) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceProcess(killRestart)
}

func (s *targetState) setDrain(drain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = drain
}

func (s *targetState) setSnapshots(snapshots []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = snapshots
}

func (s *targetState) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *targetState) currentGeneration() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

func (s *targetState) incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationName()
}

func (s *targetState) isCold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold
}

func (s *targetState) peakCold() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakColdRunning
}

// retryAfter estimates how long it takes until a slot is free.
func (s *targetState) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	batches := 1 + len(s.waiting)/s.cfg.Slots
	return s.cfg.Latency * time.Duration(batches)
}

// healthReport returns the actual state of the target.
func (s *targetState) healthReport() wireHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := len(s.running)
	report := wireHealth{
		State:       stateName(s.cold),
		Busy:        busy,
		Slots:       s.cfg.Slots,
		Load:        float64(busy+len(s.waiting)) / float64(s.cfg.Slots),
		Incarnation: s.incarnationName(),
	}
	if s.draining {
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
