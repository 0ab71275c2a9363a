package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// reset gives up every job that a run which failed has left behind, and takes
// the target for cold. It returns when the target has let go of all of them.
func (w *worker) reset() time.Time {
	var last time.Time
	for id, j := range w.jobs {
		if j.until.After(last) {
			last = j.until
		}
		w.answer(j, magnoliashore.Lose(j.sub, magnoliashore.ReasonFault))
		j.withdrawn = true
		delete(w.jobs, id)
	}
	w.queue = w.host.newQueue(w.row.Queue())
	w.belief = w.newBelief()
	return last
}

// awaitOld waits until the exchanges of a run which failed have ended at the
// target, and frees their slots.
func (w *worker) awaitOld(ctx context.Context, last time.Time) {
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

// drop refuses every queued job.
func (w *worker) drop() {
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

// finishRunning waits for the exchanges of a target that is gone, and refuses
// what still arrives.
func (w *worker) finishRunning(ctx context.Context) {
	for w.busy > 0 {
		select {
		case <-ctx.Done():
			return
		case message := <-w.done:
			w.take(ctx, message)
		case message := <-w.inbox.Items():
			if m, ok := message.(submitted); ok {
				w.refuse(m.job, magnoliashore.ReasonLeaving, 0)
			}
		}
	}
}
