package entry

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// submit queues the job, or refuses it at once with the reason.
func (w *worker) submit(j *job) {
	now := w.host.Timer.Now()
	w.next++
	j.id = w.next
	if reason, ok := w.host.view().Usable(w.target.ID()); !ok {
		w.refuse(j, reason, w.host.Settings.Limits.Keep)
		return
	}
	limit := w.limit(now)
	if limit == 0 {
		w.refuse(j, magnoliashore.ReasonOwner, w.host.Settings.Lease.Heartbeat)
		return
	}
	if reason, ok := w.permitted(now); !ok {
		w.refuse(j, reason, w.host.Settings.Lease.Heartbeat)
		return
	}
	refusal, ok := w.queue.Offer(now, magnoliashore.Job{
		ID: j.id, Class: w.row.Class(), Service: w.row.Name(), Weight: w.row.Weight(),
		Deadline: j.sub.Deadline(), Arrived: now,
	}, limit, w.busy)
	if !ok {
		w.refuse(j, refusal.Reason, refusal.After)
		return
	}
	w.jobs[j.id] = j
}

// limit returns how many requests this host may run on the target now: as many
// as connections stand, and one more under a lease. If the target was replaced
// and the break of the old connections is not seen yet, the new process gets
// that one request at most.
func (w *worker) limit(now time.Time) int {
	room := w.standing()
	if w.leased(now) {
		room++
	}
	return w.host.control.ownership.Share(now, w.target.ID(), min(w.belief.Limit(now), room))
}

// leased reports whether this host holds a lease on the target.
func (w *worker) leased(now time.Time) bool {
	_, ok := w.host.control.ownership.Until(now, w.target.ID())
	return ok
}

// permitted reports whether work may start now: on a cold target only under a
// lease.
func (w *worker) permitted(now time.Time) (magnoliashore.Reason, bool) {
	if !w.belief.Cold(now) {
		return magnoliashore.ReasonNone, true
	}
	if !w.leased(now) {
		return magnoliashore.ReasonLease, false
	}
	return magnoliashore.ReasonNone, true
}

func (w *worker) refuse(j *job, reason magnoliashore.Reason, after time.Duration) {
	w.host.meters.refused(reason)
	w.answer(j, magnoliashore.Refuse(j.sub, reason, after))
}

func (w *worker) answer(j *job, answer magnoliashore.SubAnswer) {
	w.host.workers.load.Add(-1)
	if j.withdrawn {
		return
	}
	now := w.host.Timer.Now()
	j.reply(answer.WithLoad(magnoliashore.NewLoad(
		w.queue.Len(), w.busy, w.limit(now), w.belief.Cold(now), w.latency)))
}

// withdraw takes the job out of the queue or stops its exchange. Work on a cold
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
		w.host.workers.load.Add(-1)
		return
	}
	if j.cancel != nil && !j.cold { // the slot of cold work that is cut stays taken for longer than it runs
		j.cancel()
	}
}

// expire refuses the queued jobs that can no longer be answered in time.
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
