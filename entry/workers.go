package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/target"
)

// workers holds one worker for each target that this host sends requests to.
type workers struct {
	host          *Host
	lifetime      context.Context
	inFlightCount atomic.Int64 // sub-requests queued or running

	running sync.WaitGroup
	mu      sync.RWMutex
	list    map[magnoliashore.TargetID]*worker
}

func newWorkers(h *Host) *workers {
	return &workers{host: h, list: make(map[magnoliashore.TargetID]*worker)}
}

func (w *workers) start(lifetime context.Context) { w.lifetime = lifetime }

// inFlight returns the number of sub-requests queued or running.
func (w *workers) inFlight() int { return int(w.inFlightCount.Load()) }

// wait waits until every worker has ended.
func (w *workers) wait() { w.running.Wait() }

// submit passes sub to the worker of its target. reply is called once, unless the
// returned function withdraws the sub-request before.
func (w *workers) submit(sub magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) func() {
	worker, reason := w.find(sub.Target())
	if worker == nil {
		reply(magnoliashore.Refuse(sub, reason, w.host.Settings.Lease.Heartbeat))
		return func() {}
	}
	job := &job{sub: sub, reply: reply}
	if !worker.inbox.Push(submitted{job: job}) {
		w.host.meters.ringFull.Inc()
		reply(magnoliashore.Refuse(sub, magnoliashore.ReasonBusy, inboxFullRetryAfter))
		return func() {}
	}
	w.inFlightCount.Add(1)
	return func() { worker.inbox.Push(withdrawn{job: job}) }
}

// find returns the worker of a target, which it starts if needed, or the reason
// why there can be none.
func (w *workers) find(id magnoliashore.TargetID) (*worker, magnoliashore.Reason) {
	w.mu.RLock()
	worker := w.list[id]
	w.mu.RUnlock()
	if worker != nil {
		return worker, magnoliashore.ReasonNone
	}
	view := w.host.view()
	t, ok := view.Layout().Target(id)
	if !ok {
		return nil, magnoliashore.ReasonLeaving
	}
	service, ok := view.Table().Service(t.Service())
	if !ok {
		return nil, magnoliashore.ReasonOff
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.list[id] == nil {
		w.list[id] = newWorker(w.host, t, service)
		worker := w.list[id]
		w.running.Go(func() { _ = w.host.guard(w.lifetime, worker) })
	}
	return w.list[id], magnoliashore.ReasonNone
}

// coldBusy returns the number of requests in flight to the target that were sent
// while it counted as cold. The lease must be held until they end.
func (w *workers) coldBusy(id magnoliashore.TargetID) int {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if worker := w.list[id]; worker != nil {
		return int(worker.coldBusy.Load())
	}
	return 0
}

// connectionChanged passes a change of a target's connections to its worker.
func (w *workers) connectionChanged(id magnoliashore.TargetID, state target.State) {
	w.mu.RLock()
	worker := w.list[id]
	w.mu.RUnlock()
	if worker != nil && state != target.Closed {
		worker.connectionChanged(state == target.Up)
	}
}

// refresh notifies every worker that the configuration or the placement changed,
// and ends the workers of targets that are no longer published.
func (w *workers) refresh() {
	layout := w.host.view().Layout()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, worker := range w.list {
		if _, ok := layout.Target(id); !ok {
			worker.close()
			delete(w.list, id)
			continue
		}
		worker.notify()
	}
}
