package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Offer queues the job and returns true, or refuses it at once: for the reason
// busy if its class has no room, deadline if the expected wait and one service
// time do not fit its deadline, fault if its number is queued already. limit
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
	c := f.class(job)
	if over := f.over(c, limit, busy); over > 0 {
		return f.refuseFull(c, over, limit), false
	}
	left := job.Deadline.Sub(now)
	fl := c.flow(job)
	it := f.store.take(now, job)
	wait := f.times.wait(f.before(fl, it), limit, busy)
	late := wait+f.times.one() > left
	if left <= 0 || late && !f.idle(busy) {
		f.store.discard(it)
		return f.refuseLate(wait, left, limit, busy), false
	}
	if late {
		// The estimate is not trusted here, so Expired must not apply it.
		it.expiry.key += int64(f.times.least())
	}
	f.add(c, fl, it)
	return magnoliashore.Refusal{}, true
}

// add queues the item.
func (f *Fair) add(c *class, fl *flow, it *item) {
	if c.waiting == 0 {
		c.pass = c.start(f.virtual)
	}
	c.add(fl, it)
	f.store.add(it)
}

// idle reports whether nothing waits or runs.
func (f *Fair) idle(busy int) bool { return busy <= 0 && f.store.len() == 0 }

// over returns how many jobs must leave before the class has room for one; it
// is not positive if there is room.
func (f *Fair) over(c *class, limit, busy int) int {
	startable := max(limit-busy, 0)
	over := f.store.len() + 1 - startable - f.size
	below := 0
	for _, lower := range f.classes[c.rank:] {
		below += lower.waiting
	}
	return max(over, below+1-startable-f.quota(c.rank))
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

// before returns how many queued jobs are served before the item, which is not
// queued yet, if none arrives after it.
func (f *Fair) before(fl *flow, it *item) int {
	c := fl.class
	own := c.before(fl, it)
	at := c.pass
	if c.waiting == 0 {
		at = c.start(f.virtual)
	}
	at += int64(own) * c.stride
	count := own
	for _, other := range f.classes {
		if other != c {
			count += other.share.before(at, other.waiting, other.rank < c.rank)
		}
	}
	return count
}

// refuseFull returns the refusal of a class that has room once the given
// number of jobs has left it or the classes below.
func (f *Fair) refuseFull(c *class, over, limit int) magnoliashore.Refusal {
	jobs := over + f.above(c, over)
	return magnoliashore.Refusal{Reason: magnoliashore.ReasonBusy, After: bound(f.times.drain(jobs, limit))}
}

// above returns how many jobs of the classes above c are served before the
// next jobs of c and the classes below.
func (f *Fair) above(c *class, jobs int) int {
	var next *class
	for _, lower := range f.classes[c.rank:] {
		if lower.waiting > 0 && (next == nil || lower.pass < next.pass) {
			next = lower
		}
	}
	if next == nil {
		return 0
	}
	at := next.pass + int64(jobs-1)*next.stride
	count := 0
	for _, upper := range f.classes[:c.rank] {
		count += upper.share.before(at, upper.waiting, true)
	}
	return count
}

// refuseLate returns the refusal of a job that has the time left and would wait
// longer. If it does not fit even without a wait, it may come back once the
// target is idle.
func (f *Fair) refuseLate(wait, left time.Duration, limit, busy int) magnoliashore.Refusal {
	after := wait + f.times.one() - left
	if f.times.one() > left {
		after = f.times.drain(f.store.len()+busy, limit)
	}
	return magnoliashore.Refusal{Reason: magnoliashore.ReasonDeadline, After: bound(after)}
}
