// Package admit provides admission control: queues of jobs for one target that
// refuse a job at once if it cannot be answered in time, and limiters for whole
// queries and for requests to cold targets.
package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Weights of the classes in weighted fair queueing.
const (
	urgentWeight     = 16
	normalWeight     = 4
	backgroundWeight = 1
)

// Fair is a queue with weighted fair queueing between the classes and, by the
// job's weight, between the services of a class. Within a service the earliest
// deadline is served first. It implements magnoliashore.Queue. Operations take
// O(log n) in the queued jobs plus the number of services with queued jobs. It
// is not safe for concurrent use.
//
// Jobs that can start at once do not count towards the queue's size. To keep
// capacity for more urgent classes, the background class may use half of the
// size, and normal and background together three quarters, but at least one
// place each. A queued job is never displaced by another.
type Fair struct {
	size        int
	classes     []*class
	virtualTime int64 // virtual start time of the job served last
	store       store
	times       serviceTimes
}

var _ magnoliashore.Queue = (*Fair)(nil)

// NewFair returns an empty queue for at most size waiting jobs.
func NewFair(size int) *Fair {
	f := &Fair{size: max(size, 0), store: newStore()}
	weights := []int{urgentWeight, normalWeight, backgroundWeight}
	for rank, weight := range weights {
		f.classes = append(f.classes, &class{
			share:   share{stride: stride(weight)},
			rank:    rank,
			flows:   make(map[magnoliashore.ServiceName]*flow),
			sweepAt: minSweepFlows,
		})
	}
	return f
}

// Resize changes the size of the queue. Jobs above the new size stay queued.
func (f *Fair) Resize(size int) { f.size = max(size, 0) }

// Next removes and returns the job to run next. It does not check deadlines:
// call Expired to remove jobs that are too late.
func (f *Fair) Next(time.Time) (magnoliashore.Job, bool) {
	if f.store.len() == 0 {
		return magnoliashore.Job{}, false
	}
	c := f.nextClass()
	f.virtualTime = c.pass
	c.pass += c.stride
	return f.remove(c.next()), true
}

// Expired removes and returns the jobs that would miss their deadline even with
// the shortest recent service time, earliest deadline first.
func (f *Fair) Expired(now time.Time) []magnoliashore.Job {
	var jobs []magnoliashore.Job
	for it := f.store.due(now, f.times.shortest()); it != nil; it = f.store.due(now, f.times.shortest()) {
		jobs = append(jobs, f.remove(it))
	}
	return jobs
}

// Remove removes a job and reports whether it was queued.
func (f *Fair) Remove(id uint64) bool {
	it, ok := f.store.byID[id]
	if ok {
		f.remove(it)
	}
	return ok
}

// ObserveServiceTime records the service time of a job, from which waits are estimated.
func (f *Fair) ObserveServiceTime(serviceTime time.Duration) { f.times.add(serviceTime) }

// Len returns the number of queued jobs.
func (f *Fair) Len() int { return f.store.len() }

// nextClass returns the class to serve next. At least one job must be queued.
func (f *Fair) nextClass() *class {
	var best *class
	for _, c := range f.classes {
		if c.waiting == 0 {
			continue
		}
		if best == nil || c.pass < best.pass {
			best = c
		}
	}
	return best
}

// remove removes the item and returns its job. When the queue becomes empty,
// it resets the virtual time, so that no class keeps credit or debt.
func (f *Fair) remove(it *item) magnoliashore.Job {
	it.flow.class.remove(it)
	job := f.store.drop(it)
	if f.store.len() == 0 {
		f.resetVirtualTime()
	}
	return job
}

// resetVirtualTime resets the virtual time of the classes.
func (f *Fair) resetVirtualTime() {
	f.virtualTime = 0
	for _, c := range f.classes {
		c.pass = 0
	}
}

// class returns the state of the job's class. An invalid class counts as the
// least urgent one.
func (f *Fair) class(job magnoliashore.Job) *class {
	last := len(f.classes) - 1
	rank := int(job.Class)
	if rank < 0 || rank > last {
		rank = last
	}
	return f.classes[rank]
}
