package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// FIFO is a first-in, first-out queue that refuses jobs only when it is full.
// It is the baseline for comparisons with Fair. It implements
// magnoliashore.Queue and is not safe for concurrent use.
type FIFO struct {
	size  int
	order order
	store store
	times serviceTimes
}

var _ magnoliashore.Queue = (*FIFO)(nil)

// NewFIFO returns an empty queue for at most size waiting jobs. Jobs that can
// start at once do not count towards the size.
func NewFIFO(size int) *FIFO { return &FIFO{size: max(size, 0), store: newStore()} }

// Resize changes the size of the queue. Jobs above the new size stay queued.
func (q *FIFO) Resize(size int) { q.size = max(size, 0) }

// Offer queues the job and returns true, or refuses it with the reason busy if
// the queue is full, or fault if a job with the same ID is queued. The
// retry-after of a refusal is the expected time to run the jobs above the
// queue's size, from 1 ms to 1 s.
func (q *FIFO) Offer(now time.Time, job magnoliashore.Job, limit, busy int) (magnoliashore.Refusal, bool) {
	if q.store.has(job.ID) {
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonFault, RetryAfter: minRetryAfter}, false
	}
	excess := q.store.len() + 1 - max(limit-busy, 0) - q.size
	if excess > 0 {
		retryAfter := clampRetryAfter(q.times.drainTime(excess, limit))
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonBusy, RetryAfter: retryAfter}, false
	}
	it := q.store.newItem(now, job)
	it.turn.key = 0
	q.order.insert(&it.turn)
	q.store.add(it)
	return magnoliashore.Refusal{}, true
}

// Next removes and returns the job that was offered first.
func (q *FIFO) Next(time.Time) (magnoliashore.Job, bool) {
	n := q.order.first()
	if n == nil {
		return magnoliashore.Job{}, false
	}
	return q.remove(n.item), true
}

// Expired removes and returns the jobs whose deadline has passed, earliest
// deadline first.
func (q *FIFO) Expired(now time.Time) []magnoliashore.Job {
	var jobs []magnoliashore.Job
	for it := q.store.due(now, 0); it != nil; it = q.store.due(now, 0) {
		jobs = append(jobs, q.remove(it))
	}
	return jobs
}

// Remove removes a job and reports whether it was queued.
func (q *FIFO) Remove(id uint64) bool {
	it, ok := q.store.byID[id]
	if ok {
		q.remove(it)
	}
	return ok
}

// ObserveServiceTime records the service time of a job, from which retry-after is estimated.
func (q *FIFO) ObserveServiceTime(serviceTime time.Duration) { q.times.add(serviceTime) }

// Len returns the number of queued jobs.
func (q *FIFO) Len() int { return q.store.len() }

// remove removes the item and returns its job.
func (q *FIFO) remove(it *item) magnoliashore.Job {
	q.order.remove(&it.turn)
	return q.store.drop(it)
}
