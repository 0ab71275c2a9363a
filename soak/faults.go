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

// Timing of the faults.
const (
	maxFaultInterval = 900 * time.Millisecond // longest time between two faults
	maxFaultDuration = 2500 * time.Millisecond
	drainTime        = 3 * time.Second        // how long a draining target may still get requests
	settleTime       = 4 * time.Second        // after a disturbance, when drain times are not checked
	signalSetupTime  = 100 * time.Millisecond // from the start of a process until it surely handles signals
)

// faultStep sends queries while faults begin and end.
type faultStep struct{ *Soak }

func (faultStep) String() string { return "sending queries under faults" }

func (s faultStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.FaultDuration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.runCallers(ctx, s.site.Processes) })
	for ctx.Err() == nil {
		wait := clock.After(time.Duration(s.random.Int64N(int64(maxFaultInterval))))
		select {
		case <-wait.C:
			s.injectFault(&wg)
			s.injectPeerFault(&wg)
			s.injectSilence()
			s.injectRestore(&wg)
		case <-ctx.Done():
			wait.Stop()
		}
	}
	wg.Wait()
	return nil
}

// injectFault injects one random fault, which ends by itself.
func (r *Soak) injectFault(wg *sync.WaitGroup) {
	duration := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
	p := r.site.Processes[r.random.IntN(len(r.site.Processes))]
	t := r.random.IntN(len(r.site.Targets))
	kind := r.random.IntN(10)
	r.Log.WithField("kind", kind).WithField("length", duration.String()).Debug("fault")
	switch kind {
	case 0:
		r.restart(wg, p, syscall.SIGKILL, duration)
	case 1:
		r.restart(wg, p, syscall.SIGTERM, duration)
	case 2:
		r.extendDisturbance(duration)
		r.sendSignal(p, syscall.SIGSTOP)
		wg.Go(func() {
			clock.Sleep(duration)
			r.sendSignal(p, syscall.SIGCONT)
		})
	case 3:
		if p.Age() > signalSetupTime {
			r.sendSignal(p, syscall.SIGHUP)
		}
	case 4, 5:
		connFaults := []ConnFault{{Delay: 80 * time.Millisecond}, {Refuse: true, ResetOpen: true}, {DropReplies: true}}
		r.injectConnFault(wg, r.proxies[t], connFaults[r.random.IntN(len(connFaults))], duration)
	case 6:
		r.extendDisturbance(duration)
		connFaults := []ConnFault{{Refuse: true, ResetOpen: true}, {DropReplies: true}, {Delay: 200 * time.Millisecond}}
		r.injectConnFault(wg, r.proxies[len(r.proxies)-1], connFaults[r.random.IntN(len(connFaults))], duration)
	case 7:
		behaviours := []standin.Behaviour{{Refuse: true}, {Fail: true}, {Silence: true}, {Work: 400 * time.Millisecond}}
		target := r.site.Targets[t]
		target.Behave(behaviours[r.random.IntN(len(behaviours))])
		wg.Go(func() {
			clock.Sleep(duration)
			target.Behave(standin.Behaviour{Work: 5 * time.Millisecond})
		})
	case 8:
		r.drainTarget(wg, t)
	case 9:
		r.extendDisturbance(0)
		r.site.Store.Compact()
	}
}

// faultsPerPeerFault is the average number of faults for each fault between
// hosts.
const faultsPerPeerFault = 5

// injectPeerFault occasionally disturbs the connections from the other hosts to
// one random host, which can still connect to them: an asymmetric partition.
// These faults use a random generator of their own, so that they do not change
// the other faults of a seed.
func (r *Soak) injectPeerFault(wg *sync.WaitGroup) {
	if r.peerRandom.IntN(faultsPerPeerFault) > 0 {
		return
	}
	duration := time.Duration(r.peerRandom.Int64N(int64(maxFaultDuration)))
	connFaults := []ConnFault{{DropAll: true}, {Refuse: true, ResetOpen: true}, {DropReplies: true}, {Delay: 100 * time.Millisecond}}
	r.extendDisturbance(duration)
	r.injectConnFault(wg, r.peerProxies[r.peerRandom.IntN(len(r.peerProxies))], connFaults[r.peerRandom.IntN(len(connFaults))], duration)
}

// faultsPerSilence is the average number of faults for each silence.
const faultsPerSilence = 8

// injectSilence occasionally makes all open connections of the hosts to the store
// and to each other silent.
func (r *Soak) injectSilence() {
	if r.silenceRandom.IntN(faultsPerSilence) > 0 {
		return
	}
	r.extendDisturbance(0)
	for _, p := range append(slices.Clone(r.peerProxies), r.proxies[len(r.proxies)-1]) {
		p.Silence()
	}
}

// extendDisturbance suspends the checks of drain times until settleTime after a
// disturbance of the given duration that begins now.
func (r *Soak) extendDisturbance(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extendDisturbanceLocked(duration)
}

// extendDisturbanceLocked is extendDisturbance for callers that hold mu.
func (r *Soak) extendDisturbanceLocked(duration time.Duration) {
	if end := clock.Now().Add(duration + settleTime); end.After(r.disturbedUntil) {
		r.disturbedUntil = end
	}
}

func (r *Soak) sendSignal(p *standin.Process, sig syscall.Signal) {
	if err := p.Signal(sig); err != nil {
		r.Log.WithError(err).Debug("cannot send a signal; the process may have just ended")
	}
}

// restart stops a process with a signal and starts it again. It does nothing if
// the process is not running or is already being restarted.
func (r *Soak) restart(wg *sync.WaitGroup, p *standin.Process, sig syscall.Signal, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.Running() || r.restarting[p] {
		return
	}
	r.restarting[p] = true
	r.extendDisturbanceLocked(duration + p.Settings.Grace)
	r.sendSignal(p, sig)
	wg.Go(func() {
		r.sendSignal(p, syscall.SIGCONT)
		if !p.Wait(p.Settings.Grace + maxFaultDuration) {
			r.recordViolation("host %s is still running %s after %s", p.Settings.Host, p.Settings.Grace+maxFaultDuration, sig)
			return
		}
		clock.Sleep(duration / 4)
		r.startProcess(p)
	})
}

// startProcess starts a process that has been stopped for a restart.
func (r *Soak) startProcess(p *standin.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := p.Start(); err != nil {
		r.violations = append(r.violations, errors.Wrapf(err, "host %s cannot be restarted", p.Settings.Host))
	}
	delete(r.restarting, p)
}

// injectConnFault applies a fault to the connections of a proxy for a time.
func (r *Soak) injectConnFault(wg *sync.WaitGroup, p *Proxy, fault ConnFault, duration time.Duration) {
	p.SetFault(fault)
	wg.Go(func() {
		clock.Sleep(duration)
		p.SetFault(ConnFault{})
	})
}

// drainTarget marks a target as draining, checks that it gets no request after
// drainTime, and marks it as ready again.
func (r *Soak) drainTarget(wg *sync.WaitGroup, index int) {
	target := r.site.Targets[index]
	r.mu.Lock()
	_, draining := r.drainingSince[target.ID]
	undisturbed := clock.Now().After(r.disturbedUntil)
	if !draining {
		r.drainingSince[target.ID] = clock.Now()
	}
	r.mu.Unlock()
	if draining {
		return
	}
	if err := target.Register(r.site.Store, "draining"); err != nil {
		r.recordViolation("registering a target: %v", err)
	}
	wg.Go(func() {
		clock.Sleep(drainTime + time.Second)
		r.mu.Lock()
		drainEnd := r.drainingSince[target.ID].Add(drainTime)
		undisturbed = undisturbed && clock.Now().After(r.disturbedUntil)
		delete(r.drainingSince, target.ID)
		r.mu.Unlock()
		for _, run := range target.Runs() {
			if undisturbed && run.At.After(drainEnd) {
				r.recordViolation("target %s got request %s %s after it began to drain", target.ID, run.ID, run.At.Sub(drainEnd)+drainTime)
			}
		}
		if err := target.Register(r.site.Store, "ready"); err != nil {
			r.recordViolation("registering a target: %v", err)
		}
	})
}

// endFaults ends all faults and starts the hosts that are not running. A host
// that ended by itself is a violation.
func (r *Soak) endFaults() {
	for _, p := range slices.Concat(r.proxies, r.peerProxies) {
		p.SetFault(ConnFault{})
	}
	for _, t := range r.site.Targets {
		t.Behave(standin.Behaviour{Work: 5 * time.Millisecond})
	}
	for _, p := range r.site.Processes {
		r.sendSignal(p, syscall.SIGCONT)
		if p.Running() {
			continue
		}
		r.recordViolation("host %s ended unexpectedly: %s", p.Settings.Host, p.State())
		if err := p.Start(); err != nil {
			r.recordViolation("host %s cannot be restarted: %v", p.Settings.Host, err)
		}
	}
}

// checkStep checks that the targets ran each at-most-once request at most once,
// with its own body, and not at all if a host reported that it did not run.
type checkStep struct{ *Soak }

func (checkStep) String() string { return "checking the requests that targets ran" }

func (s checkStep) Run(context.Context) error {
	// Requests that are still in flight end within their timeout.
	clock.Sleep(requestTimeout)
	s.mu.Lock()
	atMostOnce, notRun := s.atMostOnce, s.notRun
	s.mu.Unlock()
	runCounts := make(map[string]int)
	for _, t := range s.site.Targets {
		for _, run := range t.Runs() {
			body, ok := atMostOnce[run.ID]
			if !ok {
				continue
			}
			runCounts[run.ID]++
			if run.Body != body {
				s.recordViolation("request %s ran with body %q, want %q", run.ID, run.Body, body)
			}
		}
	}
	for id, n := range runCounts {
		if n > 1 {
			s.recordViolation("request %s ran %d times, want at most once", id, n)
		}
		if notRun[id] {
			s.recordViolation("request %s was reported as not run, but ran", id)
		}
	}
	return nil
}
