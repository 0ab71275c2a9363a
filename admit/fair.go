// Package admit provides the queues of jobs that wait for one target, with
// refusals at once where a job would not be answered in time.
package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// The shares of the classes while jobs of all of them wait.
const (
	urgentWeight     = 16
	normalWeight     = 4
	backgroundWeight = 1
)

// Fair is a queue that is weighted fair between the classes, weighted fair by
// row weight between the services of a class, and serves the earliest deadline
// first inside a service. It implements magnoliashore.Queue. Operations take
// O(log n) in the queued jobs plus the number of services that have jobs
// waiting. It is not safe for concurrent use.
//
// Jobs that can start at once take none of the queue's size. Of the size, the
// background class may use one half, and normal and background together three
// quarters, but each class at least one place, so that the classes above find
// room. A job that is queued is never displaced by another.
type Fair struct {
	size    int
	classes []*class
	virtual int64 // start of the job that was served last
	store   store
	times   times
}

var _ magnoliashore.Queue = (*Fair)(nil)

// NewFair returns an empty queue in which at most size jobs wait.
func NewFair(size int) *Fair {
	f := &Fair{size: max(size, 0), store: newStore()}
	weights := []int{urgentWeight, normalWeight, backgroundWeight}
	for rank, weight := range weights {
		f.classes = append(f.classes, &class{
			share:   share{stride: stride(weight)},
			rank:    rank,
			flows:   make(map[magnoliashore.ServiceName]*flow),
			sweepAt: sweepLeast,
		})
	}
	return f
}

// Resize applies a changed size of the queue. Jobs above it stay queued.
func (f *Fair) Resize(size int) { f.size = max(size, 0) }

// Next removes and returns the job to run next. It does not look at
// deadlines: Expired takes out the jobs that are too late.
func (f *Fair) Next(time.Time) (magnoliashore.Job, bool) {
	if f.store.len() == 0 {
		return magnoliashore.Job{}, false
	}
	c := f.nextClass()
	f.virtual = c.pass
	c.pass += c.stride
	return f.remove(c.next()), true
}

// Expired removes and returns the jobs, the earliest deadline first, whose
// deadline less the learnt shortest service time has passed.
func (f *Fair) Expired(now time.Time) []magnoliashore.Job {
	var jobs []magnoliashore.Job
	for it := f.store.due(now, f.times.least()); it != nil; it = f.store.due(now, f.times.least()) {
		jobs = append(jobs, f.remove(it))
	}
	return jobs
}

// Remove takes a job out; false means that it is not queued.
func (f *Fair) Remove(id uint64) bool {
	it, ok := f.store.byID[id]
	if ok {
		f.remove(it)
	}
	return ok
}

// Ran records how long a job took on the target, to estimate waits.
func (f *Fair) Ran(took time.Duration) { f.times.add(took) }

// Len returns the number of queued jobs.
func (f *Fair) Len() int { return f.store.len() }

// nextClass returns the class whose turn it is. At least one job waits.
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

// remove takes the item out and returns its job. Once no job waits, no class
// is ahead of another.
func (f *Fair) remove(it *item) magnoliashore.Job {
	it.flow.class.remove(it)
	job := f.store.drop(it)
	if f.store.len() == 0 {
		f.level()
	}
	return job
}

// level starts the virtual time of the classes anew.
func (f *Fair) level() {
	f.virtual = 0
	for _, c := range f.classes {
		c.pass = 0
	}
}

// class returns the class of the job; an invalid one counts as the last.
func (f *Fair) class(job magnoliashore.Job) *class {
	last := len(f.classes) - 1
	rank := int(job.Class)
	if rank < 0 || rank > last {
		rank = last
	}
	return f.classes[rank]
}
