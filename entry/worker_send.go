package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// dispatch starts queued jobs while the target has free capacity.
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

// startOrRefuse starts the job, or refuses it if the target is unusable or cold
// without a lease.
func (w *worker) startOrRefuse(ctx context.Context, now time.Time, j *job) {
	if reason, ok := w.host.view().Usable(w.target.ID()); !ok {
		delete(w.jobs, j.id)
		w.refuse(j, reason, w.host.Settings.Limits.Keep)
		return
	}
	j.cold = w.warmth.Cold(now)
	if !j.cold {
		w.startWarm(ctx, now, j)
		return
	}
	w.coldBusy.Add(1) // before reading the lease, which may be released while this is zero
	until, ok := w.host.control.ownership.Until(now, w.target.ID())
	if !ok || until.Sub(now) < minLeaseLeft {
		w.coldBusy.Add(-1)
		delete(w.jobs, j.id)
		w.refuse(j, magnoliashore.ReasonLease, w.host.Settings.Lease.Heartbeat)
		return
	}
	w.startCold(ctx, j, until)
}

// startWarm runs the exchange on an open connection. Only the holder of the lease
// may use a new one.
func (w *worker) startWarm(ctx context.Context, now time.Time, j *job) {
	j.targetDeadline = j.sub.Deadline()
	j.permit = magnoliashore.Permit{OpenConnOnly: true, ReportedBreaks: w.reportedBreaks}
	if until, ok := w.host.control.ownership.Until(now, w.target.ID()); ok {
		j.permit.LeaseEnd = until
	}
	w.start(ctx, j, j.sub)
}

// startCold runs the exchange with a deadline no later than the end of the lease.
func (w *worker) startCold(ctx context.Context, j *job, until time.Time) {
	j.targetDeadline = j.sub.Deadline()
	if until.Before(j.targetDeadline) {
		j.targetDeadline = until
	}
	j.permit = magnoliashore.Permit{NotAfter: j.targetDeadline}
	w.start(ctx, j, j.sub.WithDeadline(j.targetDeadline))
}

// start runs the exchange in a goroutine. The connection checks the job's permit
// immediately before the write.
func (w *worker) start(ctx context.Context, j *job, sub magnoliashore.Sub) {
	w.busy++
	w.lastStart = w.host.Timer.Now()
	exchange, cancel := context.WithDeadline(ctx, j.targetDeadline)
	j.cancel = cancel
	t := w.target
	w.host.meters.subs.Inc()
	go func() {
		defer cancel()
		j.answer, j.evidence = w.send(exchange, sub, t, j.permit)
		w.post(ctx, finished{job: j})
	}()
}

// send runs the exchange. If it panics, the outcome is unknown.
func (w *worker) send(
	ctx context.Context, sub magnoliashore.Sub, t magnoliashore.Target, permit magnoliashore.Permit,
) (answer magnoliashore.SubAnswer, evidence magnoliashore.Evidence) {
	defer func() {
		if fault := recover(); fault != nil {
			w.host.recordPanic("sending to a target", fault)
			answer = magnoliashore.Lose(sub, magnoliashore.ReasonFault)
		}
	}()
	return w.sender().Send(ctx, sub, t, permit)
}

// post sends a message to the worker's goroutine.
func (w *worker) post(ctx context.Context, message any) {
	select {
	case w.done <- message:
	case <-ctx.Done():
	}
}

// finish processes the end of an exchange and answers its job.
func (w *worker) finish(ctx context.Context, j *job) {
	now := w.host.Timer.Now()
	w.releaseSlot(ctx, now, j)
	if _, known := w.jobs[j.id]; !known {
		return // reset has given up the job
	}
	delete(w.jobs, j.id)
	w.warmth.Observe(now, j.evidence)
	if j.evidence.Healthy {
		w.queue.ObserveServiceTime(j.evidence.Latency)
		w.latency += (j.evidence.Latency - w.latency) / latencySmoothing
	}
	w.reportWarmth(now)
	w.reportReply(j)
	w.answer(j, j.answer)
}

// reportReply emits an event for an invalid reply or a reply from another
// snapshot.
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

// releaseSlot frees the job's slot. If the exchange was cut short, the slot stays
// in use while the target may still be working on it, but on a warm target for at
// most maxWarmLinger.
func (w *worker) releaseSlot(ctx context.Context, now time.Time, j *job) {
	linger := j.targetDeadline.Sub(now) + w.host.Settings.Lease.Margin // time for the target to notice the cancellation
	if !j.cold {
		linger = min(j.targetDeadline.Sub(now), maxWarmLinger)
	}
	if j.answer.Outcome() != magnoliashore.OutcomeUnknown || linger <= 0 {
		w.freeSlot(j.cold)
		return
	}
	go w.freeSlotAfter(ctx, linger, j.cold)
}

// freeSlotAfter posts slotFreed after linger.
func (w *worker) freeSlotAfter(ctx context.Context, linger time.Duration, cold bool) {
	wake := w.host.Timer.After(linger)
	defer wake.Stop()
	select {
	case <-wake.C:
		w.post(ctx, slotFreed{cold: cold})
	case <-ctx.Done():
	}
}

func (w *worker) freeSlot(cold bool) {
	w.busy--
	if cold {
		w.coldBusy.Add(-1)
	}
}
