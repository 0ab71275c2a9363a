package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// headroom is the factor by which the expected wait is multiplied when it is
// compared with the time until the deadline. With 1, an overloaded queue would
// hold as much work as the deadline allows, and each job would be served, or
// expire, just before its deadline.
const headroom = 2

// rounding is the largest rounding error of an expected wait.
const rounding = time.Nanosecond

// Offer queues the job and returns true, or refuses it at once, with the reason
//   - busy if its class has no free capacity,
//   - deadline if headroom times the expected wait plus one service time exceeds
//     the time until its deadline,
//   - fault if a job with the same ID is queued.
//
// limit is how many jobs the target may run concurrently, and busy how many it
// is running. While the target is idle, a job is never refused because of
// estimated times, so that a wrong estimate is corrected.
//
// The retry-after of a refusal is the expected time until a job like this one
// would be accepted, from 1 ms to 1 s.
func (f *Fair) Offer(now time.Time, job magnoliashore.Job, limit, busy int) (magnoliashore.Refusal, bool) {
	if f.store.has(job.ID) {
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonFault, RetryAfter: minRetryAfter}, false
	}
	if limit < 1 {
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonBusy, RetryAfter: maxRetryAfter}, false
	}
	r := f.request(now, job, limit, busy)
	excess := f.excess(r)
	if excess > 0 {
		return f.refuse(r, magnoliashore.ReasonBusy, f.drainTime(r, excess)), false
	}
	tooLate := headroom*f.expectedWait(r)+f.times.average() > r.timeLeft
	if r.timeLeft <= 0 || tooLate && !f.idle(busy) {
		return f.refuse(r, magnoliashore.ReasonDeadline, 0), false
	}
	if tooLate {
		// This job tests the estimate, so Expired must not apply the estimate to it.
		r.item.expiry.key += int64(f.times.shortest())
	}
	f.add(r)
	return magnoliashore.Refusal{}, true
}

// request is a job that Offer decides on.
type request struct {
	item     *item
	flow     *flow
	timeLeft time.Duration // time until the deadline
	limit    int
	busy     int
}

func (f *Fair) request(now time.Time, job magnoliashore.Job, limit, busy int) request {
	return request{
		item:     f.store.newItem(now, job),
		flow:     f.class(job).flow(job),
		timeLeft: job.Deadline.Sub(now),
		limit:    limit,
		busy:     max(busy, 0),
	}
}

// add queues the job.
func (f *Fair) add(r request) {
	c := r.flow.class
	c.pass = c.start(f.virtualTime)
	c.add(r.flow, r.item)
	f.store.add(r.item)
}

// idle reports whether no job is queued or running.
func (f *Fair) idle(busy int) bool { return busy <= 0 && f.store.len() == 0 }

// excess returns how many jobs must leave the queue before the job's class has
// capacity for it. Zero or less means that it has capacity now.
func (f *Fair) excess(r request) int {
	rank := r.flow.class.rank
	startable := max(r.limit-r.busy, 0)
	below := 0
	for _, lower := range f.classes[rank:] {
		below += lower.waiting
	}
	excess := max(f.store.len()-f.size, below-f.quota(rank))
	return excess + 1 - startable
}

// quota returns how many places of the queue a class may use together with the
// less urgent classes.
func (f *Fair) quota(rank int) int {
	if f.size == 0 {
		return 0
	}
	switch magnoliashore.Class(rank) {
	case magnoliashore.ClassUrgent:
		return f.size
	case magnoliashore.ClassNormal:
		return max(f.size*3/4, 1)
	default:
		return max(f.size/2, 1)
	}
}

// expectedWait returns the expected time until the job would start if it were
// queued now.
func (f *Fair) expectedWait(r request) time.Duration {
	return f.times.expectedWait(f.before(r.flow, r.item), r.limit, r.busy)
}

// before returns how many queued jobs would be served before the item, which is
// not queued yet, if no more jobs arrived.
func (f *Fair) before(fl *flow, it *item) int {
	c := fl.class
	own := c.before(fl, it)
	at := c.start(f.virtualTime) + int64(own)*c.stride
	count := own
	for _, other := range f.classes {
		if other != c {
			count += other.share.before(at, other.waiting, other.rank < c.rank)
		}
	}
	return count
}

// drainTime returns the expected time until excess jobs have left the job's
// class and the less urgent classes. It assumes that all of them leave the one
// of these classes that is served next.
func (f *Fair) drainTime(r request, excess int) time.Duration {
	rank := r.flow.class.rank
	var next *class
	for _, lower := range f.classes[rank:] {
		if lower.waiting > 0 && (next == nil || lower.pass < next.pass) {
			next = lower
		}
	}
	if next == nil {
		return f.times.drainTime(excess, r.limit)
	}
	at := next.pass + int64(excess-1)*next.stride
	jobs := excess
	for _, upper := range f.classes[:rank] {
		jobs += upper.share.before(at, upper.waiting, true)
	}
	return f.times.drainTime(jobs, r.limit)
}

// refuse discards the request and returns the refusal. minWait is the least
// time until there can be capacity.
func (f *Fair) refuse(r request, reason magnoliashore.Reason, minWait time.Duration) magnoliashore.Refusal {
	retryAfter := f.retryAfter(r, minWait)
	f.store.discard(r.item)
	return magnoliashore.Refusal{Reason: reason, RetryAfter: clampRetryAfter(retryAfter)}
}

// retryAfter returns the expected time, at least minWait, until a job with as
// much time until its deadline would be accepted. It assumes the last position
// in the class: that position holds while the queue drains, whereas one ahead of
// other jobs of the class does not. A job that can only be accepted without
// waiting may retry when the target is idle.
func (f *Fair) retryAfter(r request, minWait time.Duration) time.Duration {
	neededTime := f.times.average() + headroom*f.times.drainTime(1, r.limit)
	if neededTime >= r.timeLeft {
		return f.times.drainTime(f.store.len()+r.busy, r.limit)
	}
	wait := f.times.expectedWait(f.beforeLast(r.flow.class), r.limit, r.busy)
	return max(minWait, wait+rounding-(r.timeLeft-f.times.average())/headroom)
}

// beforeLast returns how many queued jobs would be served before a job that is
// added as the last of c.
func (f *Fair) beforeLast(c *class) int {
	at := c.start(f.virtualTime) + int64(c.waiting)*c.stride
	count := c.waiting
	for _, other := range f.classes {
		if other != c {
			count += other.share.before(at, other.waiting, true)
		}
	}
	return count
}
