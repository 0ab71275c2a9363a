package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore/platform/standin"
)

const (
	limitPhase   = 9 * time.Second
	limitGrace   = 4 * time.Second // after a target first names a limit, when requests are not counted
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5 // requests in a window, relative to the limit
	limitSlack   = 5   // further requests in a window
	lowestLimit  = 6   // requests per second
	limitsSpread = 10  // requests per second
)

// limitStep has all targets name limits below the load, sends requests to all hosts
// or to one, restarts a host meanwhile, and checks that all hosts together keep the
// limits.
type limitStep struct{ *Soak }

func (limitStep) String() string { return "sending more requests than targets take" }

func (s limitStep) Run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.Seed, 14))
	began := clock.Now()
	limits := make([]float64, len(s.site.Targets))
	for i, t := range s.site.Targets {
		limits[i] = float64(lowestLimit + random.IntN(limitsSpread))
		t.Behave(standin.Behaviour{Work: 5 * time.Millisecond, Limit: limits[i]})
	}
	hosts := s.site.Processes
	if random.IntN(2) == 0 {
		hosts = hosts[:1]
	}
	victim, wait := s.site.Processes[random.IntN(len(s.site.Processes))], time.Duration(random.Int64N(int64(limitPhase)))
	ctx, cancel := context.WithTimeout(ctx, limitPhase)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		clock.Sleep(wait)
		s.restart(&wg, victim, sigterm, 0)
	})
	s.runCallers(ctx, hosts)
	wg.Wait()
	for i, t := range s.site.Targets {
		s.checkLimit(t, limits[i], began)
		t.Behave(standin.Behaviour{Work: 5 * time.Millisecond})
	}
	return s.waitReady(context.WithoutCancel(ctx), startTimeout)
}

// checkLimit checks the requests that a target got in each window.
func (r *Soak) checkLimit(t *standin.Target, limit float64, began time.Time) {
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	var window []time.Time
	for _, run := range t.Runs() {
		if run.At.Before(began.Add(limitGrace)) {
			continue
		}
		window = append(window, run.At)
		for run.At.Sub(window[0]) >= limitWindow {
			window = window[1:]
		}
		if len(window) > allowed {
			r.recordViolation("target %s got %d requests in %s at a limit of %.0f a second", t.ID, len(window), limitWindow, limit)
			return
		}
	}
}
