package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// headroom is how many times the expected wait must fit beside one service
// time. With 1, an overloaded queue would hold as much work as the deadline
// allows, and each job would be served, or expire, just before it.
const headroom = 2

// rounding is what an expected wait may lack of its exact value.
const rounding = time.Nanosecond

// Offer queues the job and returns true, or refuses it at once: for the reason
// busy if its class has no room, deadline if headroom times the expected wait
// and one service time do not fit its deadline, fault if its number is queued already. limit
// is how many jobs the target runs at once now, and busy how many it is
// running. While the target is idle a job is never refused for its estimated
// time, so that a wrong estimate is corrected.
//
// After is when a job like this would be taken, as far as is known now, from
// 1 ms to 1 s.
func (f *Fair) Offer(now time.Time, job magnoliashore.Job, limit, busy int) (magnoliashore.Refusal, bool) {
	if f.store.has(job.ID) {
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonFault, After: shortestAfter}, false
	}
	if limit < 1 {
		return magnoliashore.Refusal{Reason: magnoliashore.ReasonBusy, After: longestAfter}, false
	}
	r := f.request(now, job, limit, busy)
	over := f.over(r)
	if over > 0 {
		return f.refuse(r, magnoliashore.ReasonBusy, f.drained(r, over)), false
	}
	late := headroom*f.wait(r)+f.times.one() > r.left
	if r.left <= 0 || late && !f.idle(busy) {
		return f.refuse(r, magnoliashore.ReasonDeadline, 0), false
	}
	if late {
		// The estimate is not trusted here, so Expired must not apply it.
		r.item.expiry.key += int64(f.times.least())
	}
	f.add(r)
	return magnoliashore.Refusal{}, true
}

// request is a job that is being offered.
type request struct {
	item  *item
	flow  *flow
	left  time.Duration // time until the deadline
	limit int
	busy  int
}

func (f *Fair) request(now time.Time, job magnoliashore.Job, limit, busy int) request {
	return request{
		item:  f.store.take(now, job),
		flow:  f.class(job).flow(job),
		left:  job.Deadline.Sub(now),
		limit: limit,
		busy:  max(busy, 0),
	}
}

// add queues the job.
func (f *Fair) add(r request) {
	c := r.flow.class
	c.pass = c.start(f.virtual)
	c.add(r.flow, r.item)
	f.store.add(r.item)
}

// idle reports whether nothing waits or runs.
func (f *Fair) idle(busy int) bool { return busy <= 0 && f.store.len() == 0 }

// over returns how many jobs must leave before the job's class has room for
// it; it is not positive if there is room.
func (f *Fair) over(r request) int {
	rank := r.flow.class.rank
	startable := max(r.limit-r.busy, 0)
	below := 0
	for _, lower := range f.classes[rank:] {
		below += lower.waiting
	}
	over := max(f.store.len()-f.size, below-f.quota(rank))
	return over + 1 - startable
}

// quota returns how many places of the size a class may use together with the
// classes below it.
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

// wait returns the expected time until the job starts if it is queued now.
func (f *Fair) wait(r request) time.Duration {
	return f.times.wait(f.before(r.flow, r.item), r.limit, r.busy)
}

// before returns how many queued jobs are served before the item, which is not
// queued yet, if none arrives after it.
func (f *Fair) before(fl *flow, it *item) int {
	c := fl.class
	own := c.before(fl, it)
	at := c.start(f.virtual) + int64(own)*c.stride
	count := own
	for _, other := range f.classes {
		if other != c {
			count += other.share.before(at, other.waiting, other.rank < c.rank)
		}
	}
	return count
}

// drained returns how long it takes until over jobs have left the job's class
// and the classes below it. It looks at the class among them that is next.
func (f *Fair) drained(r request, over int) time.Duration {
	rank := r.flow.class.rank
	var next *class
	for _, lower := range f.classes[rank:] {
		if lower.waiting > 0 && (next == nil || lower.pass < next.pass) {
			next = lower
		}
	}
	if next == nil {
		return f.times.drain(over, r.limit)
	}
	at := next.pass + int64(over-1)*next.stride
	jobs := over
	for _, upper := range f.classes[:rank] {
		jobs += upper.share.before(at, upper.waiting, true)
	}
	return f.times.drain(jobs, r.limit)
}

// refuse gives the request up and returns its refusal. from is the earliest
// time after which there can be room.
func (f *Fair) refuse(r request, reason magnoliashore.Reason, from time.Duration) magnoliashore.Refusal {
	after := f.after(r, from)
	f.store.discard(r.item)
	return magnoliashore.Refusal{Reason: reason, After: bound(after)}
}

// after returns how long until a job with as much time left would fit, from or
// later. It counts the job as the last of its class: such a place is kept while
// the queue drains, whereas a place ahead of waiting jobs of the class is not.
// A job that fits only if it finds a free slot can come back once the target is
// idle.
func (f *Fair) after(r request, from time.Duration) time.Duration {
	least := f.times.one() + headroom*f.times.drain(1, r.limit)
	if least >= r.left {
		return f.times.drain(f.store.len()+r.busy, r.limit)
	}
	wait := f.times.wait(f.beforeLast(r.flow.class), r.limit, r.busy)
	return max(from, wait+rounding-(r.left-f.times.one())/headroom)
}

// beforeLast returns how many queued jobs are served before one that is added
// as the last of c.
func (f *Fair) beforeLast(c *class) int {
	at := c.start(f.virtual) + int64(c.waiting)*c.stride
	count := c.waiting
	for _, other := range f.classes {
		if other != c {
			count += other.share.before(at, other.waiting, true)
		}
	}
	return count
}
