package admit

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

const (
	// passUnit is the virtual time that one job takes at weight 1.
	passUnit = 1 << 20
	// minSweepFlows is the number of services that a class holds before it first
	// removes idle ones.
	minSweepFlows = 64
)

// share is the scheduling state of a class, or of a service within a class, in
// weighted fair queueing (stride scheduling). The next job starts at the
// virtual time pass, and each job advances pass by stride.
type share struct {
	pass   int64
	stride int64
}

// stride returns the virtual time that one job takes at the given weight.
func stride(weight int) int64 { return max(passUnit/int64(max(weight, 1)), 1) }

// start returns the virtual start time of the next job. virtualTime is the
// virtual start time of the job served last; a class or service that was idle
// starts no earlier than that, so it gains no credit.
func (s *share) start(virtualTime int64) int64 { return max(s.pass, virtualTime) }

// before returns how many of the waiting jobs start before the virtual time at,
// or no later than it if ties is set.
func (s *share) before(at int64, waiting int, ties bool) int {
	if ties {
		at++
	}
	if at <= s.pass {
		return 0
	}
	count := (at - s.pass + s.stride - 1) / s.stride
	return int(min(count, int64(waiting)))
}

// flow holds the queued jobs of one service, ordered by deadline.
type flow struct {
	share
	name  magnoliashore.ServiceName
	jobs  order
	class *class
}

// class holds the queued jobs of one class.
type class struct {
	share
	rank        int // index in Fair.classes, most urgent first
	waiting     int
	virtualTime int64 // virtual start time of the job served last
	maxPass     int64 // highest pass among the flows
	flows       map[magnoliashore.ServiceName]*flow
	active      []*flow // flows with queued jobs
	sweepAt     int     // number of flows at which idle ones are removed
}

// flow returns the flow of the job's service and sets its stride to the job's
// weight.
func (c *class) flow(job magnoliashore.Job) *flow {
	f, ok := c.flows[job.Service]
	if !ok {
		c.sweep()
		f = &flow{name: job.Service, class: c}
		c.flows[job.Service] = f
	}
	f.stride = stride(job.Weight)
	return f
}

// sweep removes idle flows that have no debt, so that the map stays bounded.
func (c *class) sweep() {
	if len(c.flows) < c.sweepAt {
		return
	}
	for name, f := range c.flows {
		if f.jobs.len() == 0 && f.pass <= c.virtualTime {
			delete(c.flows, name)
		}
	}
	c.sweepAt = max(minSweepFlows, 2*len(c.flows))
}

// add queues the item in the flow f.
func (c *class) add(f *flow, it *item) {
	it.flow = f
	if f.jobs.len() == 0 {
		f.pass = f.start(c.virtualTime)
		c.active = append(c.active, f)
	}
	f.jobs.insert(&it.turn)
	c.waiting++
}

// remove removes the item. When the class becomes empty, its virtual time moves
// to the highest pass, so that no flow keeps credit or debt.
func (c *class) remove(it *item) {
	f := it.flow
	f.jobs.remove(&it.turn)
	c.waiting--
	if f.jobs.len() == 0 {
		c.deactivate(f)
	}
	if c.waiting == 0 {
		c.virtualTime = c.maxPass
	}
}

// deactivate removes f from the active flows.
func (c *class) deactivate(f *flow) {
	i := slices.Index(c.active, f)
	last := len(c.active) - 1
	c.active[i] = c.active[last]
	c.active[last] = nil
	c.active = c.active[:last]
}

// next returns the job to serve next and advances the pass of its service. The
// job stays queued. At least one job must be queued.
func (c *class) next() *item {
	next := c.active[0]
	for _, f := range c.active[1:] {
		if f.pass < next.pass || f.pass == next.pass && f.name < next.name {
			next = f
		}
	}
	c.virtualTime = next.pass
	next.pass += next.stride
	c.maxPass = max(c.maxPass, next.pass)
	return next.jobs.first().item
}

// before returns how many queued jobs of the class would be served before the
// item, which is not queued yet, if it were added to f now.
func (c *class) before(f *flow, it *item) int {
	own := f.jobs.before(&it.turn)
	at := f.start(c.virtualTime) + int64(own)*f.stride
	count := own
	for _, other := range c.active {
		if other != f {
			count += other.before(at, other.jobs.len(), other.name < f.name)
		}
	}
	return count
}
