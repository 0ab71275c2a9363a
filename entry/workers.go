package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/target"
)

// workers holds one duty for each target that this host sends work to.
type workers struct {
	host *Host
	life context.Context
	load atomic.Int64 // sub-requests waiting or running

	duties sync.WaitGroup
	mu     sync.RWMutex
	list   map[magnoliashore.TargetID]*worker
}

func newWorkers(h *Host) *workers {
	return &workers{host: h, list: make(map[magnoliashore.TargetID]*worker)}
}

func (w *workers) start(life context.Context) { w.life = life }

// busy returns how many sub-requests wait or run.
func (w *workers) busy() int { return int(w.load.Load()) }

// wait returns when every duty has ended.
func (w *workers) wait() { w.duties.Wait() }

// submit hands sub to the duty of its target. reply is called once unless the
// returned function withdraws the sub-request first.
func (w *workers) submit(sub magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) func() {
	duty, reason := w.find(sub.Target())
	if duty == nil {
		reply(magnoliashore.Refuse(sub, reason, w.host.Settings.Lease.Heartbeat))
		return func() {}
	}
	job := &job{sub: sub, reply: reply}
	if !duty.inbox.Push(submitted{job: job}) {
		w.host.meters.ringFull.Inc()
		reply(magnoliashore.Refuse(sub, magnoliashore.ReasonBusy, retryBusy))
		return func() {}
	}
	w.load.Add(1)
	return func() { duty.inbox.Push(withdrawn{job: job}) }
}

// find returns the duty of a target, which it starts if there is none yet, or
// the reason why there can be none.
func (w *workers) find(id magnoliashore.TargetID) (*worker, magnoliashore.Reason) {
	w.mu.RLock()
	duty := w.list[id]
	w.mu.RUnlock()
	if duty != nil {
		return duty, magnoliashore.ReasonNone
	}
	view := w.host.view()
	t, ok := view.Layout().Target(id)
	if !ok {
		return nil, magnoliashore.ReasonLeaving
	}
	row, ok := view.Table().Service(t.Service())
	if !ok {
		return nil, magnoliashore.ReasonOff
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.list[id] == nil {
		w.list[id] = newWorker(w.host, t, row)
		duty := w.list[id]
		w.duties.Go(func() { _ = w.host.guard(w.life, duty) })
	}
	return w.list[id], magnoliashore.ReasonNone
}

// coldBusy returns how many requests are running on the target that were sent
// while it was held cold, and so need the lease to stand.
func (w *workers) coldBusy(id magnoliashore.TargetID) int {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if duty := w.list[id]; duty != nil {
		return int(duty.coldBusy.Load())
	}
	return 0
}

// state passes a change of a target's connections to its duty.
func (w *workers) state(id magnoliashore.TargetID, state target.State) {
	w.mu.RLock()
	duty := w.list[id]
	w.mu.RUnlock()
	if duty != nil && state != target.Closed {
		duty.connection(state == target.Up)
	}
}

// refresh tells every duty that the configuration or the placement changed,
// and ends the duties of targets that are no longer published.
func (w *workers) refresh() {
	layout := w.host.view().Layout()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, duty := range w.list {
		if _, ok := layout.Target(id); !ok {
			duty.end()
			delete(w.list, id)
			continue
		}
		duty.refresh()
	}
}
