// Package timer provides the one place of a process that reads the clock and
// wakes its parts. Parts subscribe for a single or a repeated wake-up.
package timer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Service tells the time and wakes subscribers. The zero Service is ready.
type Service struct{}

// Now returns the current time with its monotonic reading.
func (*Service) Now() time.Time { return time.Now() }

// Subscription delivers wake-ups on C until Stop.
type Subscription struct {
	// C receives the time of each wake-up. A subscriber that is slow misses
	// wake-ups; they do not pile up.
	C <-chan time.Time

	once sync.Once
	stop func()
}

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() { s.once.Do(s.stop) }

// Every wakes the subscriber once per period.
func (*Service) Every(period time.Duration) *Subscription {
	ticker := time.NewTicker(period)
	return &Subscription{C: ticker.C, stop: ticker.Stop}
}

// After wakes the subscriber once, delay from now.
func (*Service) After(delay time.Duration) *Subscription {
	t := time.NewTimer(delay)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// At wakes the subscriber once, at the given time.
func (s *Service) At(at time.Time) *Subscription {
	return s.After(at.Sub(s.Now()))
}

// Call calls f in a goroutine of its own, delay from now. C of the
// subscription stays empty.
func (*Service) Call(delay time.Duration, f func()) *Subscription {
	t := time.AfterFunc(delay, f)
	return &Subscription{stop: func() { t.Stop() }}
}

// Sleep waits for delay.
func (s *Service) Sleep(delay time.Duration) { <-s.After(delay).C }

// Jitter returns a random duration between half of and one and a half times d.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
