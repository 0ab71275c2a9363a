package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore/platform/standin"
)

const (
	deadlyPhase    = 11 * time.Second
	deadlyPause    = 500 * time.Millisecond // between two requests of a caller
	deadlyCallers  = 2
	hotCallers     = 4 // that ask for one and the same path
	targetDowntime = 3 * time.Second
	convictingEnds = 3 // targets that end before the request is to be refused
	deadlyStable   = 4 * time.Second
	deadlyRetries  = 3 // that may reach targets later than deadlyStable after the convicting end
	randomEnds     = 3 // targets that end by themselves meanwhile
)

// deadlyStep sends a request that ends each target which runs it, beside others,
// while a host restarts and targets end by themselves. The request must stop
// reaching targets, and no other may be refused in its place.
type deadlyStep struct{ *Soak }

func (deadlyStep) String() string { return "sending a request that ends its targets" }

func (s deadlyStep) Run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.Seed, 15))
	uri := []string{standin.PathOne, standin.PathOnce, standin.PathShards}[random.IntN(3)] + "deadly"
	for _, t := range s.site.Targets {
		t.Proxy = "" // a proxy accepts connections also for a target that has ended
		t.Behave(standin.Behaviour{Work: 5 * time.Millisecond, Deadly: uri})
		if err := t.Register(s.site.Store, "ready"); err != nil {
			return err
		}
	}
	victim, wait := s.site.Processes[random.IntN(len(s.site.Processes))], time.Duration(random.Int64N(int64(deadlyPhase)))
	ending := random.Perm(len(s.site.Targets))[:randomEnds]
	ctx, cancel := context.WithTimeout(ctx, deadlyPhase)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.restartTargets(ctx) })
	wg.Go(func() {
		clock.Sleep(wait)
		s.restart(&wg, victim, sigterm, 0)
	})
	wg.Go(func() {
		for _, i := range ending {
			clock.Sleep(deadlyPhase / (randomEnds + 1))
			s.site.Targets[i].End()
		}
	})
	for i := range deadlyCallers {
		wg.Go(func() { s.repeatRequest(ctx, i, uri, deadlyPause) })
	}
	for i := range hotCallers {
		wg.Go(func() { s.repeatRequest(ctx, i, standin.PathOne+"hot", thinkTime) })
	}
	s.runCallers(ctx, s.site.Processes)
	wg.Wait()
	s.checkDeadly(uri)
	return s.waitReady(context.WithoutCancel(ctx), startTimeout)
}

// restartTargets restarts targets some time after they have ended, until ctx ends.
func (r *Soak) restartTargets(ctx context.Context) {
	due := make(map[*standin.Target]time.Time)
	for ctx.Err() == nil {
		for _, t := range r.site.Targets {
			at, down := due[t]
			switch {
			case !t.Ended():
			case !down:
				due[t] = clock.Now().Add(targetDowntime)
			case clock.Now().After(at):
				delete(due, t)
				if err := t.Restart(r.site.Store); err != nil {
					r.recordViolation("restarting target %s: %v", t.ID, err)
				}
			}
		}
		clock.Sleep(pollInterval / 10)
	}
}

// repeatRequest sends the same request, but for its ID, to one host after another
// until ctx ends.
func (r *Soak) repeatRequest(ctx context.Context, first int, uri string, pause time.Duration) {
	body := ""
	if strings.HasPrefix(uri, standin.PathOnce) {
		body = "the same body"
	}
	for n := first; ctx.Err() == nil; n++ {
		id, host := r.newRequestID(), r.site.Processes[n%len(r.site.Processes)]
		answer, err := host.Send(context.WithoutCancel(ctx), id, uri, body)
		if err == nil && !strings.HasSuffix(uri, "deadly") {
			r.checkRefusal(id, answer)
		}
		clock.Sleep(pause)
	}
}

// checkDeadly checks how often a request reached targets after it had ended some.
func (r *Soak) checkDeadly(uri string) {
	var arrivals []time.Time
	for _, t := range r.site.Targets {
		for _, run := range t.Runs() {
			if run.URI == uri {
				arrivals = append(arrivals, run.At)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	r.Log.WithField("seed", r.Seed).WithField("arrivals", len(arrivals)).WithField("uri", uri).Info("request that ends targets")
	if len(arrivals) < convictingEnds {
		return
	}
	late, _ := slices.BinarySearchFunc(arrivals, arrivals[convictingEnds-1].Add(deadlyStable), time.Time.Compare)
	if got := len(arrivals) - late; got > deadlyRetries {
		r.recordViolation("%s reached targets %d times later than %s after the end of the third, want %d at most", uri, got, deadlyStable, deadlyRetries)
	}
}
