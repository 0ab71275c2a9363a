// Package timer provides the clock and the timers of a process. The
// packages of a host get the time and all wake-ups, one-off or periodic, from it.
package timer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Service provides the current time and timers. The zero value is ready to use.
type Service struct{}

// Now returns the current time with a monotonic clock reading.
func (*Service) Now() time.Time { return time.Now() }

// Subscription sends wake-ups on C until Stop is called.
type Subscription struct {
	// C receives the time of each wake-up. A slow receiver misses wake-ups;
	// they do not queue up.
	C <-chan time.Time

	once sync.Once
	stop func()
}

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() { s.once.Do(s.stop) }

// Every sends a wake-up once per period.
func (*Service) Every(period time.Duration) *Subscription {
	ticker := time.NewTicker(period)
	return &Subscription{C: ticker.C, stop: ticker.Stop}
}

// After sends one wake-up after the delay.
func (*Service) After(delay time.Duration) *Subscription {
	t := time.NewTimer(delay)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// At sends one wake-up at the given time.
func (s *Service) At(at time.Time) *Subscription {
	return s.After(at.Sub(s.Now()))
}

// Call calls f in its own goroutine after the delay. C of the subscription is
// nil.
func (*Service) Call(delay time.Duration, f func()) *Subscription {
	t := time.AfterFunc(delay, f)
	return &Subscription{stop: func() { t.Stop() }}
}

// Sleep blocks for the given delay.
func (s *Service) Sleep(delay time.Duration) { <-s.After(delay).C }

// Jitter returns a random duration from d/2 up to, but not including, 3d/2. It
// returns 0 if d is not positive.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
