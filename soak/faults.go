package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/platform/standin"
)

const sigterm = syscall.SIGTERM

// Times of the faults.
const (
	mostGap   = 900 * time.Millisecond // between two faults
	mostFault = 2500 * time.Millisecond
	drain     = 3 * time.Second        // for which a leaving target may still get requests
	settle    = 4 * time.Second        // after a disturbance, in which bounds do not hold
	startup   = 100 * time.Millisecond // before which a process may not handle signals yet
)

// faultStep asks queries while faults come and go.
type faultStep struct{ *Soak }

func (faultStep) String() string { return "asking queries under faults" }

func (s faultStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.Length)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { s.call(ctx) })
	for ctx.Err() == nil {
		wait := clock.After(time.Duration(s.random.Int64N(int64(mostGap))))
		select {
		case <-wait.C:
			s.inject(&faults)
			s.cut(&faults)
		case <-ctx.Done():
			wait.Stop()
		}
	}
	faults.Wait()
	return nil
}

// inject begins one fault at random; it ends by itself.
func (r *Soak) inject(faults *sync.WaitGroup) {
	length := time.Duration(r.random.Int64N(int64(mostFault)))
	p := r.site.Processes[r.random.IntN(len(r.site.Processes))]
	t := r.random.IntN(len(r.site.Targets))
	kind := r.random.IntN(10)
	r.Log.WithField("kind", kind).WithField("length", length.String()).Debug("fault")
	switch kind {
	case 0:
		r.restart(faults, p, syscall.SIGKILL, length)
	case 1:
		r.restart(faults, p, syscall.SIGTERM, length)
	case 2:
		r.disturb(length)
		r.signal(p, syscall.SIGSTOP)
		faults.Go(func() {
			clock.Sleep(length)
			r.signal(p, syscall.SIGCONT)
		})
	case 3:
		if p.Age() > startup {
			r.signal(p, syscall.SIGHUP)
		}
	case 4, 5:
		troubles := []Trouble{{Delay: 80 * time.Millisecond}, {Refuse: true, Reset: true}, {Silence: true}}
		r.trouble(faults, r.proxies[t], troubles[r.random.IntN(len(troubles))], length)
	case 6:
		r.disturb(length)
		troubles := []Trouble{{Refuse: true, Reset: true}, {Silence: true}, {Delay: 200 * time.Millisecond}}
		r.trouble(faults, r.proxies[len(r.proxies)-1], troubles[r.random.IntN(len(troubles))], length)
	case 7:
		acts := []standin.Behaviour{{Refuse: true}, {Fail: true}, {Silence: true}, {Work: 400 * time.Millisecond}}
		target := r.site.Targets[t]
		target.Behave(acts[r.random.IntN(len(acts))])
		faults.Go(func() {
			clock.Sleep(length)
			target.Behave(standin.Behaviour{Work: 5 * time.Millisecond})
		})
	case 8:
		r.leave(faults, t)
	case 9:
		r.disturb(0)
		r.site.Store.Compact()
	}
}

// cutShare is how many faults come for each cut between hosts.
const cutShare = 5

// cut keeps the other hosts from reaching one, at random, which still reaches
// them. Cuts have a random generator of their own, so that the other faults of
// a seed stay what they were without them.
func (r *Soak) cut(faults *sync.WaitGroup) {
	if r.cuts.IntN(cutShare) > 0 {
		return
	}
	length := time.Duration(r.cuts.Int64N(int64(mostFault)))
	troubles := []Trouble{{Cut: true}, {Refuse: true, Reset: true}, {Silence: true}, {Delay: 100 * time.Millisecond}}
	r.disturb(length)
	r.trouble(faults, r.peers[r.cuts.IntN(len(r.peers))], troubles[r.cuts.IntN(len(troubles))], length)
}

// disturb notes that bounds do not hold until some time after a disturbance.
func (r *Soak) disturb(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extend(length)
}

// extend does the same. The caller holds mu.
func (r *Soak) extend(length time.Duration) {
	if end := clock.Now().Add(length + settle); end.After(r.disturbs) {
		r.disturbs = end
	}
}

func (r *Soak) signal(p *standin.Process, signal syscall.Signal) {
	if err := p.Signal(signal); err != nil {
		r.Log.WithError(err).Debug("the process has just ended")
	}
}

// restart ends a process and starts it again.
func (r *Soak) restart(faults *sync.WaitGroup, p *standin.Process, signal syscall.Signal, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.Running() || r.restarting[p] {
		return
	}
	r.restarting[p] = true
	r.extend(length + p.Settings.Grace)
	r.signal(p, signal)
	faults.Go(func() {
		r.signal(p, syscall.SIGCONT)
		if !p.Wait(p.Settings.Grace + mostFault) {
			r.broken("host %s still runs %s after %s", p.Settings.Host, p.Settings.Grace+mostFault, signal)
			return
		}
		clock.Sleep(length / 4)
		r.start(p)
	})
}

// start starts a process that has ended.
func (r *Soak) start(p *standin.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := p.Start(); err != nil {
		r.faults = append(r.faults, errors.Wrapf(err, "host %s does not start again", p.Settings.Host))
	}
	delete(r.restarting, p)
}

// trouble troubles the connections of a proxy for a time.
func (r *Soak) trouble(faults *sync.WaitGroup, p *Proxy, t Trouble, length time.Duration) {
	p.Set(t)
	faults.Go(func() {
		clock.Sleep(length)
		p.Set(Trouble{})
	})
}

// leave has a target leave, and come back after a while.
func (r *Soak) leave(faults *sync.WaitGroup, at int) {
	target := r.site.Targets[at]
	r.mu.Lock()
	_, leaving := r.leaving[target.ID]
	calm := clock.Now().After(r.disturbs)
	if !leaving {
		r.leaving[target.ID] = clock.Now()
	}
	r.mu.Unlock()
	if leaving {
		return
	}
	if err := target.Register(r.site.Store, "draining"); err != nil {
		r.broken("registering a target: %v", err)
	}
	faults.Go(func() {
		clock.Sleep(drain + time.Second)
		r.mu.Lock()
		since := r.leaving[target.ID].Add(drain)
		calm = calm && clock.Now().After(r.disturbs)
		delete(r.leaving, target.ID)
		r.mu.Unlock()
		for _, run := range target.Runs() {
			if calm && run.At.After(since) {
				r.broken("target %s got request %s %s after it began to leave", target.ID, run.ID, run.At.Sub(since)+drain)
			}
		}
		if err := target.Register(r.site.Store, "ready"); err != nil {
			r.broken("registering a target: %v", err)
		}
	})
}

// heal ends everything that may still be troubled, and starts hosts that do
// not run.
func (r *Soak) heal() {
	for _, p := range slices.Concat(r.proxies, r.peers) {
		p.Set(Trouble{})
	}
	for _, t := range r.site.Targets {
		t.Behave(standin.Behaviour{Work: 5 * time.Millisecond})
	}
	for _, p := range r.site.Processes {
		r.signal(p, syscall.SIGCONT)
		if p.Running() {
			continue
		}
		r.broken("host %s ended by itself: %s", p.Settings.Host, p.State())
		if err := p.Start(); err != nil {
			r.broken("host %s does not start again: %v", p.Settings.Host, err)
		}
	}
}

// checkStep checks what the targets have run.
type checkStep struct{ *Soak }

func (checkStep) String() string { return "checking what the targets have run" }

func (s checkStep) Run(context.Context) error {
	// Requests that are still under way end within their patience.
	clock.Sleep(patience)
	s.mu.Lock()
	once, refused := s.once, s.refused
	s.mu.Unlock()
	runs := make(map[string]int)
	for _, t := range s.site.Targets {
		for _, run := range t.Runs() {
			body, ok := once[run.ID]
			if !ok {
				continue
			}
			runs[run.ID]++
			if run.Body != body {
				s.broken("request %s ran with body %q, want %q", run.ID, run.Body, body)
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			s.broken("request %s ran %d times, want once", id, n)
		}
		if refused[id] {
			s.broken("request %s was said not to have run, and ran", id)
		}
	}
	return nil
}
