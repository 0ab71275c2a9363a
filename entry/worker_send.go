package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// dispatch starts queued jobs while the target has room.
func (w *worker) dispatch(ctx context.Context) {
	for w.queue.Len() > 0 {
		now := w.host.Timer.Now()
		if w.busy >= w.limit(now) {
			return
		}
		next, ok := w.queue.Next(now)
		if !ok {
			return
		}
		j := w.jobs[next.ID]
		w.startOrRefuse(ctx, now, j)
	}
}

func (w *worker) startOrRefuse(ctx context.Context, now time.Time, j *job) {
	if reason, ok := w.host.view().Usable(w.target.ID()); !ok {
		delete(w.jobs, j.id)
		w.refuse(j, reason, w.host.Settings.Limits.Keep)
		return
	}
	j.cold = w.belief.Cold(now)
	if !j.cold {
		w.startWarm(ctx, now, j)
		return
	}
	w.coldBusy.Add(1) // before the look at the lease, which may be given back when this is zero
	until, ok := w.host.control.ownership.Until(now, w.target.ID())
	if !ok || until.Sub(now) < leastWindow {
		w.coldBusy.Add(-1)
		delete(w.jobs, j.id)
		w.refuse(j, magnoliashore.ReasonLease, w.host.Settings.Lease.Heartbeat)
		return
	}
	w.startCold(ctx, j, until)
}

// startWarm runs the exchange on a connection that stands. Only the holder of
// the lease may use a new one.
func (w *worker) startWarm(ctx context.Context, now time.Time, j *job) {
	j.until = j.sub.Deadline()
	j.permit = magnoliashore.Permit{Standing: true, Era: w.era}
	if until, ok := w.host.control.ownership.Until(now, w.target.ID()); ok {
		j.permit.Lease = until
	}
	w.start(ctx, j, j.sub)
}

// startCold runs the exchange so that it ends inside the lease.
func (w *worker) startCold(ctx context.Context, j *job, until time.Time) {
	j.until = j.sub.Deadline()
	if until.Before(j.until) {
		j.until = until
	}
	j.permit = magnoliashore.Permit{NotAfter: j.until}
	w.start(ctx, j, j.sub.WithDeadline(j.until))
}

// start runs the exchange. Its last check before the write is made by the
// connection itself, against the job's permit.
func (w *worker) start(ctx context.Context, j *job, sub magnoliashore.Sub) {
	w.busy++
	w.worked = w.host.Timer.Now()
	exchange, cancel := context.WithDeadline(ctx, j.until)
	j.cancel = cancel
	t := w.target
	w.host.meters.subs.Inc()
	go func() {
		defer cancel()
		j.answer, j.evidence = w.send(exchange, sub, t, j.permit)
		w.report(ctx, finished{job: j})
	}()
}

// send runs the exchange; a panic on the way leaves the outcome unknown.
func (w *worker) send(
	ctx context.Context, sub magnoliashore.Sub, t magnoliashore.Target, permit magnoliashore.Permit,
) (answer magnoliashore.SubAnswer, evidence magnoliashore.Evidence) {
	defer func() {
		if fault := recover(); fault != nil {
			w.host.fault("sending to a target", fault)
			answer = magnoliashore.Lose(sub, magnoliashore.ReasonFault)
		}
	}()
	return w.sender().Send(ctx, sub, t, permit)
}

func (w *worker) report(ctx context.Context, message any) {
	select {
	case w.done <- message:
	case <-ctx.Done():
	}
}

// finish takes in the end of an exchange. The slot of an exchange that was
// cut short stays taken for as long as the target may still work on it.
func (w *worker) finish(ctx context.Context, j *job) {
	now := w.host.Timer.Now()
	w.free(ctx, now, j)
	if _, known := w.jobs[j.id]; !known {
		return // given up by a reset
	}
	delete(w.jobs, j.id)
	w.belief.Observe(now, j.evidence)
	if j.evidence.Healthy {
		w.queue.Ran(j.evidence.Took)
		w.latency += (j.evidence.Took - w.latency) / latencyTau
	}
	w.reportWarmth(now)
	w.reportReply(j)
	w.answer(j, j.answer)
}

// reportReply emits an event for a reply that could not be used.
func (w *worker) reportReply(j *job) {
	if j.answer.Outcome() != magnoliashore.OutcomeUnknown {
		return
	}
	switch reason := j.answer.Reason(); reason {
	case magnoliashore.ReasonInvalid, magnoliashore.ReasonSnapshot:
		w.host.emit(magnoliashore.EventSpec{
			Code: event.TargetReply, Query: j.sub.Query(), Target: w.target.ID(), Detail: string(reason),
		})
	}
}

func (w *worker) free(ctx context.Context, now time.Time, j *job) {
	linger := j.until.Sub(now) + w.host.Settings.Lease.Margin // for the target to see the cut
	if !j.cold {
		linger = min(j.until.Sub(now), lingerWarm)
	}
	if j.answer.Outcome() != magnoliashore.OutcomeUnknown || linger <= 0 {
		w.freeSlot(j.cold)
		return
	}
	go w.releaseAfter(ctx, linger, j.cold)
}

// releaseAfter reports a slot as free again after a time.
func (w *worker) releaseAfter(ctx context.Context, linger time.Duration, cold bool) {
	wake := w.host.Timer.After(linger)
	defer wake.Stop()
	select {
	case <-wake.C:
		w.report(ctx, released{cold: cold})
	case <-ctx.Done():
	}
}

func (w *worker) freeSlot(cold bool) {
	w.busy--
	if cold {
		w.coldBusy.Add(-1)
	}
}
