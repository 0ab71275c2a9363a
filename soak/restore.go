package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliashore/magnoliashore/platform/standin"
)

const (
	applyBound       = 3 * time.Second // within which a confirmed configuration is in force
	maxOutage        = 1500 * time.Millisecond
	rewriteTime      = time.Second // within which the operator and the targets write again after a restore
	faultsPerRestore = 6           // average number of faults for each restore of the store
	keptCopies       = 5           // latest copies of the store; one is taken at each fault
	keptRoutes       = 8           // latest configurations whose routes the next ones keep
	restoreRounds    = 2
)

// versionPath is the path of the route that a configuration adds.
func versionPath(version int) string { return fmt.Sprintf("/version%d/", version) }

// configure writes the next configuration and returns its version.
func (r *Soak) configure() int {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.version++
	r.writeConfig()
	return r.version
}

// writeConfig writes the latest configuration. The caller holds configMu.
func (r *Soak) writeConfig() {
	paths := []string{standin.PathShards, standin.PathOne, standin.PathOnce}
	for v := max(firstVersion, r.version-keptRoutes); v <= r.version; v++ {
		paths = append(paths, versionPath(v))
	}
	if err := r.site.Configure(r.version, paths...); err != nil {
		r.recordViolation("writing configuration %d: %v", r.version, err)
	}
}

// firstVersion is the version of the first configuration with a route of its own;
// the site starts with the one before.
const firstVersion = 2

// rewrite has the operator and the targets write again what a restored store may
// have lost.
func (r *Soak) rewrite() {
	r.configMu.Lock()
	r.writeConfig()
	r.configMu.Unlock()
	for _, t := range r.site.Targets {
		r.mu.Lock()
		state := "ready"
		if _, draining := r.drainingSince[t.ID]; draining {
			state = "draining"
		}
		r.mu.Unlock()
		if err := t.Register(r.site.Store, state); err != nil {
			r.recordViolation("registering a target: %v", err)
		}
	}
}

// injectRestore occasionally restores the store from a recent copy, with or
// without an outage. Like the faults between hosts, these have a random generator
// of their own.
func (r *Soak) injectRestore(wg *sync.WaitGroup) {
	r.copies = append(r.copies, r.site.Store.Copy())
	if len(r.copies) > keptCopies {
		r.copies = r.copies[1:]
	}
	if r.storeRandom.IntN(faultsPerRestore) > 0 {
		return
	}
	copied := r.copies[r.storeRandom.IntN(len(r.copies))]
	outage := r.randomOutage()
	pause := time.Duration(r.storeRandom.Int64N(int64(rewriteTime)))
	r.extendDisturbance(outage + rewriteTime)
	r.configure()
	wg.Go(func() {
		r.restore(copied, outage)
		clock.Sleep(pause)
		r.rewrite()
	})
}

// randomOutage returns the length of the outage of a restore; zero in every second
// case.
func (r *Soak) randomOutage() time.Duration {
	return time.Duration(r.storeRandom.Int64N(int64(maxOutage))) * time.Duration(r.storeRandom.IntN(2))
}

// restore restores the store after an outage; zero for none.
func (r *Soak) restore(copied standin.Copy, outage time.Duration) {
	if outage > 0 {
		r.site.Store.SetDown(true)
		clock.Sleep(outage)
	}
	r.site.Store.Restore(copied)
	r.site.Store.SetDown(false)
}

// restoreStep restores the store from a copy while callers send queries and the
// hosts are left alone, but for one that may be restarted. No other host may go
// back to an older configuration, and all must apply the next one in time.
type restoreStep struct{ *Soak }

func (restoreStep) String() string { return "restoring the store" }

func (s restoreStep) Run(ctx context.Context) error {
	callerCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { s.runCallers(callerCtx, s.site.Processes) })
	defer callers.Wait()
	defer stop()
	for range restoreRounds {
		s.awaitConfiguration(ctx, s.configure(), applyBound)
		copied := s.site.Store.Copy()
		s.rewrite()
		latest := s.configure()
		s.awaitConfiguration(ctx, latest, applyBound)
		restarted := s.restartOne()
		outage := s.randomOutage()
		for range 1 + s.storeRandom.IntN(2) {
			s.restore(copied, outage)
			clock.Sleep(time.Duration(s.storeRandom.Int64N(int64(rewriteTime))))
			s.checkKept(ctx, latest, restarted)
		}
		bound := applyBound
		if restarted != nil {
			s.startProcess(restarted)
			bound += settleTime
		}
		s.rewrite()
		s.awaitConfiguration(ctx, s.configure(), bound)
	}
	return nil
}

// restartOne kills a host in every second case. It returns the host, or nil.
func (r *Soak) restartOne() *standin.Process {
	p := r.site.Processes[r.storeRandom.IntN(len(r.site.Processes))]
	if r.storeRandom.IntN(2) == 0 {
		return nil
	}
	r.sendSignal(p, syscall.SIGKILL)
	p.Wait(applyBound)
	return p
}

// status sends a request to the route of a configuration and returns the status of
// the answer, or zero if there is none.
func (r *Soak) status(ctx context.Context, h *standin.Host, version int) int {
	id := r.newRequestID()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := h.Send(ctx, id, versionPath(version), "")
	if err != nil {
		return 0
	}
	return answer.Status
}

// checkKept checks that no host but one has forgotten a configuration.
func (r *Soak) checkKept(ctx context.Context, version int, except *standin.Process) {
	for _, p := range r.site.Processes {
		if p != except && r.status(ctx, &p.Host, version) == http.StatusNotFound {
			r.recordViolation("host %s went back to a configuration before %d", p.Settings.Host, version)
		}
	}
}

// awaitConfiguration waits until all hosts serve the route of a configuration.
func (r *Soak) awaitConfiguration(ctx context.Context, version int, limit time.Duration) {
	deadline := clock.Now().Add(limit)
	for _, p := range r.site.Processes {
		for r.status(ctx, &p.Host, version) != http.StatusOK {
			if clock.Now().After(deadline) {
				r.recordViolation("host %s: configuration %d is not in force %s after it was confirmed", p.Settings.Host, version, limit)
				break
			}
			clock.Sleep(pollInterval / 4)
		}
	}
}
