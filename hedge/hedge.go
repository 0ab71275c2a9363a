// Package hedge decides when a slow sub-request is hedged, that is, also sent to
// a second replica, and limits such extra sub-requests by a budget.
package hedge

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Config holds the parameters of an Adaptive hedger.
type Config struct {
	Quantile   float64       // quantile of the latency after which to hedge, 0 to 1, for example 0.95
	Share      float64       // extra sub-requests per first one, 0 to 1; ignored if Budget is set
	Burst      int           // most extra sub-requests that can accumulate; ignored if Budget is set
	MinSamples int           // least number of samples of a service before it is hedged
	MinDelay   time.Duration // shortest delay
	Budget     *Budget       // budget shared with retries; nil for a separate one
}

// Adaptive hedges after a delay that it derives per service from a quantile of
// the recent latencies of first sub-requests. It implements magnoliashore.Hedger
// and is safe for concurrent use.
type Adaptive struct {
	cfg      Config
	budget   *Budget
	mu       sync.RWMutex
	services map[magnoliashore.ServiceName]*window
}

var _ magnoliashore.Hedger = (*Adaptive)(nil)

// New returns an Adaptive without samples.
func New(cfg Config) *Adaptive {
	cfg.Quantile = min(max(cfg.Quantile, 0), 1)
	cfg.MinSamples = max(cfg.MinSamples, 1)
	budget := cfg.Budget
	if budget == nil {
		budget = NewBudget(cfg.Share, cfg.Burst)
	}
	return &Adaptive{
		cfg:      cfg,
		budget:   budget,
		services: make(map[magnoliashore.ServiceName]*window),
	}
}

// Sent counts n first sub-requests, which add to the budget. Other users of a
// shared budget must not count them again.
func (a *Adaptive) Sent(n int) { a.budget.Earn(n) }

// Observe records the latency of a first sub-request. One that was cancelled
// because another replica answered first is recorded with the time until then:
// leaving such samples out would lower the delay with each hedge.
func (a *Adaptive) Observe(service magnoliashore.ServiceName, latency time.Duration) {
	if latency < 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.services[service]
	if !ok {
		w = newWindow(a.cfg.Quantile, a.cfg.MinSamples)
		a.services[service] = w
	}
	w.add(latency)
}

// Delay returns how long to wait for the first answer before hedging: the
// quantile of recent latencies, at most a multiple of the median and at least
// MinDelay. It returns false until the service has MinSamples samples.
func (a *Adaptive) Delay(service magnoliashore.ServiceName) (time.Duration, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	w, ok := a.services[service]
	if !ok || !w.ready {
		return 0, false
	}
	return max(w.value, a.cfg.MinDelay), true
}

// Take spends one extra sub-request from the budget, or returns false.
func (a *Adaptive) Take() bool { return a.budget.Take() }

// Off never hedges. It serves as a baseline and implements magnoliashore.Hedger.
type Off struct{}

var _ magnoliashore.Hedger = Off{}

// Sent does nothing.
func (Off) Sent(int) {}

// Observe does nothing.
func (Off) Observe(magnoliashore.ServiceName, time.Duration) {}

// Delay returns false.
func (Off) Delay(magnoliashore.ServiceName) (time.Duration, bool) { return 0, false }

// Take returns false.
func (Off) Take() bool { return false }
