// Package hedge provides the decision when a slow sub-request is sent to a
// second replica, and the budget of such extra sub-requests.
package hedge

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Config holds what a Learnt works with.
type Config struct {
	Quantile float64       // share of first sub-requests that are not hedged, 0 to 1, for example 0.95
	Share    float64       // extra sub-requests per first one, 0 to 1; unused if Budget is set
	Burst    int           // extra sub-requests that may be saved up; unused if Budget is set
	Least    int           // samples of a service needed before it is hedged
	Floor    time.Duration // shortest delay
	Budget   *Budget       // budget shared with retries; nil means one of its own
}

// Learnt hedges after a delay that it learns per service: a quantile of the
// recent latencies of first sub-requests. It implements magnoliashore.Hedger
// and is safe for concurrent use.
type Learnt struct {
	cfg      Config
	budget   *Budget
	mu       sync.RWMutex
	services map[magnoliashore.ServiceName]*window
}

var _ magnoliashore.Hedger = (*Learnt)(nil)

// New returns a Learnt that knows no service yet.
func New(cfg Config) *Learnt {
	cfg.Quantile = min(max(cfg.Quantile, 0), 1)
	cfg.Least = max(cfg.Least, 1)
	budget := cfg.Budget
	if budget == nil {
		budget = NewBudget(cfg.Share, cfg.Burst)
	}
	return &Learnt{
		cfg:      cfg,
		budget:   budget,
		services: make(map[magnoliashore.ServiceName]*window),
	}
}

// Sent counts n first sub-requests, which earn the budget. Whoever shares the
// budget does not count them again.
func (l *Learnt) Sent(n int) { l.budget.Earn(n) }

// Observe records how long a first sub-request took. One that was cancelled
// because another replica answered first is recorded with the time it had run:
// if such ones were left out, the learnt delay would fall with each hedge.
func (l *Learnt) Observe(service magnoliashore.ServiceName, latency time.Duration) {
	if latency < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.services[service]
	if !ok {
		w = newWindow(l.cfg.Quantile, l.cfg.Least)
		l.services[service] = w
	}
	w.add(latency)
}

// Delay returns how long to wait for the first answer before hedging: the
// learnt quantile, at least Floor. It returns false while the service has
// fewer than Least samples.
func (l *Learnt) Delay(service magnoliashore.ServiceName) (time.Duration, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	w, ok := l.services[service]
	if !ok || !w.ready {
		return 0, false
	}
	return max(w.value, l.cfg.Floor), true
}

// Take spends one extra sub-request from the budget, or returns false.
func (l *Learnt) Take() bool { return l.budget.Take() }

// Off never hedges. It is the baseline and implements magnoliashore.Hedger.
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
