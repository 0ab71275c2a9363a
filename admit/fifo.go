package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// FIFO is a queue that serves the first job first and refuses only when it is
// full. It is the baseline, implements magnoliashore.Queue and is not safe for
// concurrent use.
type FIFO struct {
	size  int
	turns order
	store store
	times times
}

var _ magnoliashore.Queue = (*FIFO)(nil)

// NewFIFO returns an empty queue in which at most size jobs wait. Jobs that
// can start at once take none of the size.
func NewFIFO(size int) *FIFO { return &FIFO{size: max(size, 0), store: newStore()} }

// Resize applies a changed size of the queue. Jobs above it stay queued.
func (q *FIFO) Resize(size int) { q.size = max(size, 0) }

// Offer queues the job and returns true, or refuses it: for the reason busy if
// the queue is full, fault if its number is queued already. After is how long
// the jobs that are too many are expected to take, from 1 ms to 1 s.
func (q *FIFO) Offer(now time.Time, job magnoliashore.Job, limit, busy int) (magnoliashore.Refusal, bool) {
	if q.store.has(job.ID) {
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonFault, After: shortestAfter}, false
	}
	over := q.store.len() + 1 - max(limit-busy, 0) - q.size
	if over > 0 {
		after := bound(q.times.drain(over, limit))
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonBusy, After: after}, false
	}
	it := q.store.take(now, job)
	it.turn.key = 0
	q.turns.insert(&it.turn)
	q.store.add(it)
	return magnoliashore.Refusal{}, true
}

// Next removes and returns the job that was offered first.
func (q *FIFO) Next(time.Time) (magnoliashore.Job, bool) {
	n := q.turns.first()
	if n == nil {
		return magnoliashore.Job{}, false
	}
	return q.remove(n.item), true
}

// Expired removes and returns the jobs, the earliest deadline first, whose
// deadline has passed.
func (q *FIFO) Expired(now time.Time) []magnoliashore.Job {
	var jobs []magnoliashore.Job
	for it := q.store.due(now, 0); it != nil; it = q.store.due(now, 0) {
		jobs = append(jobs, q.remove(it))
	}
	return jobs
}

// Remove takes a job out; false means that it is not queued.
func (q *FIFO) Remove(id uint64) bool {
	it, ok := q.store.byID[id]
	if ok {
		q.remove(it)
	}
	return ok
}

// Ran records how long a job took on the target.
func (q *FIFO) Ran(took time.Duration) { q.times.add(took) }

// Len returns the number of queued jobs.
func (q *FIFO) Len() int { return q.store.len() }

// remove takes the item out and returns its job.
func (q *FIFO) remove(it *item) magnoliashore.Job {
	q.turns.remove(&it.turn)
	return q.store.drop(it)
}
