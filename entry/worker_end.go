package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// reset gives up the jobs of a failed run, and treats the target as cold. It
// returns the time after which the target no longer works on any of them.
func (w *worker) reset() time.Time {
	var last time.Time
	for id, j := range w.jobs {
		if j.targetDeadline.After(last) {
			last = j.targetDeadline
		}
		w.answer(j, magnoliashore.Lose(j.sub, magnoliashore.ReasonFault))
		j.withdrawn = true
		delete(w.jobs, id)
	}
	w.queue = w.host.newQueue(w.service.Queue())
	w.warmth = w.newTracker()
	return last
}

// awaitAbandoned waits until the exchanges of a failed run must have ended at the
// target, and then frees their slots.
func (w *worker) awaitAbandoned(ctx context.Context, last time.Time) {
	if last.IsZero() {
		return
	}
	wake := w.host.Timer.At(last)
	defer wake.Stop()
	for {
		select {
		case <-w.done:
		case <-wake.C:
			w.busy = 0
			w.coldBusy.Store(0)
			return
		case <-ctx.Done():
			return
		}
	}
}

// refuseQueued refuses every queued job.
func (w *worker) refuseQueued() {
	for w.queue.Len() > 0 {
		next, ok := w.queue.Next(w.host.Timer.Now())
		if !ok {
			return
		}
		j := w.jobs[next.ID]
		delete(w.jobs, next.ID)
		w.refuse(j, magnoliashore.ReasonLeaving, 0)
	}
}

// finishRunning waits for the exchanges in flight to a target that is no longer
// published, and refuses jobs that still arrive.
func (w *worker) finishRunning(ctx context.Context) {
	for w.busy > 0 {
		select {
		case <-ctx.Done():
			return
		case message := <-w.done:
			w.handle(ctx, message)
		case message := <-w.inbox.Items():
			if m, ok := message.(submitted); ok {
				w.refuse(m.job, magnoliashore.ReasonLeaving, 0)
			}
		}
	}
}
