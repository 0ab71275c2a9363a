package entry

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// submit queues the job or refuses it at once.
func (w *worker) submit(j *job) {
	now := w.host.Timer.Now()
	w.lastJobID++
	j.id = w.lastJobID
	if reason, ok := w.host.view().Usable(w.target.ID()); !ok {
		w.refuse(j, reason, w.host.Settings.Limits.Keep)
		return
	}
	limit := w.limit(now)
	if limit == 0 {
		w.refuse(j, magnoliashore.ReasonOwner, w.host.Settings.Lease.Heartbeat)
		return
	}
	if reason, ok := w.mayStart(now); !ok {
		w.refuse(j, reason, w.host.Settings.Lease.Heartbeat)
		return
	}
	refusal, ok := w.queue.Offer(now, magnoliashore.Job{
		ID: j.id, Class: w.service.Class(), Service: w.service.Name(), Weight: w.service.Weight(),
		Deadline: j.sub.Deadline(), Arrived: now,
	}, limit, w.busy)
	if !ok {
		w.refuse(j, refusal.Reason, refusal.RetryAfter)
		return
	}
	w.jobs[j.id] = j
}

// limit returns how many requests this host may run on the target now: at most
// one for each open connection, and one more if it holds the lease. If the
// target's process was replaced and the loss of the old connections is not
// detected yet, the new process thus gets at most that one request.
func (w *worker) limit(now time.Time) int {
	connLimit := w.openCount()
	if w.leased(now) {
		connLimit++
	}
	return w.host.control.ownership.Share(now, w.target.ID(), min(w.warmth.Limit(now), connLimit))
}

// leased reports whether this host holds a lease on the target.
func (w *worker) leased(now time.Time) bool {
	_, ok := w.host.control.ownership.Until(now, w.target.ID())
	return ok
}

// mayStart reports whether work may start now, or the reason why not. Work on a
// cold target needs a lease.
func (w *worker) mayStart(now time.Time) (magnoliashore.Reason, bool) {
	if !w.warmth.Cold(now) {
		return magnoliashore.ReasonNone, true
	}
	if !w.leased(now) {
		return magnoliashore.ReasonLease, false
	}
	return magnoliashore.ReasonNone, true
}

// refuse counts the refusal and answers that the job did not run.
func (w *worker) refuse(j *job, reason magnoliashore.Reason, retryAfter time.Duration) {
	w.host.meters.refused(reason)
	w.answer(j, magnoliashore.Refuse(j.sub, reason, retryAfter))
}

// answer sends the final answer with a load report, unless the job was withdrawn.
func (w *worker) answer(j *job, answer magnoliashore.SubAnswer) {
	w.host.workers.inFlightCount.Add(-1)
	if j.withdrawn {
		return
	}
	now := w.host.Timer.Now()
	j.reply(answer.WithLoad(magnoliashore.NewLoad(
		w.queue.Len(), w.busy, w.limit(now), w.warmth.Cold(now), w.latency)))
}

// withdraw removes the job from the queue or cancels its exchange. Work on a cold
// target runs to its end, which also warms the target.
func (w *worker) withdraw(j *job) {
	if j.withdrawn {
		return
	}
	if _, known := w.jobs[j.id]; !known || j.id == 0 {
		return
	}
	j.withdrawn = true
	if w.queue.Remove(j.id) {
		delete(w.jobs, j.id)
		w.host.workers.inFlightCount.Add(-1)
		return
	}
	if j.cancel != nil && !j.cold { // cancelled cold work would keep its slot for longer than it runs
		j.cancel()
	}
}

// expire refuses the queued jobs that would miss their deadline.
func (w *worker) expire() {
	if w.queue.Len() == 0 {
		return
	}
	for _, expired := range w.queue.Expired(w.host.Timer.Now()) {
		j := w.jobs[expired.ID]
		delete(w.jobs, expired.ID)
		w.refuse(j, magnoliashore.ReasonDeadline, w.latency)
	}
}
