package admit

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

const (
	// passUnit is the virtual time that one job costs at weight 1.
	passUnit = 1 << 20
	// sweepLeast is how many services a class remembers before it forgets the
	// idle ones.
	sweepLeast = 64
)

// share is a party of weighted fair queueing: a class, or a service inside a
// class. Its next job starts at the virtual time pass, and each job moves pass
// on by stride.
type share struct {
	pass   int64
	stride int64
}

// stride returns the virtual time that one job costs at the given weight.
func stride(weight int) int64 { return max(passUnit/int64(max(weight, 1)), 1) }

// start returns the virtual time at which the party's next job starts, where
// virtual is the start of the job served last. An idle party earns no credit.
func (s *share) start(virtual int64) int64 { return max(s.pass, virtual) }

// before returns how many of the party's waiting jobs start before the virtual
// time at, or also at it if ties is set.
func (s *share) before(at int64, waiting int, ties bool) int {
	if ties {
		at++
	}
	if at <= s.pass {
		return 0
	}
	turns := (at - s.pass + s.stride - 1) / s.stride
	return int(min(turns, int64(waiting)))
}

// flow is the waiting jobs of one service, the earliest deadline first.
type flow struct {
	share
	name  magnoliashore.ServiceName
	jobs  order
	class *class
}

// class is the waiting jobs of one class.
type class struct {
	share
	rank    int
	waiting int
	virtual int64 // start of the job that was served last
	top     int64 // highest pass of any flow
	flows   map[magnoliashore.ServiceName]*flow
	active  []*flow // flows with waiting jobs
	sweepAt int     // number of flows at which idle ones are forgotten
}

// flow returns the flow of the job's service with the job's weight.
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

// sweep forgets idle flows that have no debt, so that the map stays bounded.
func (c *class) sweep() {
	if len(c.flows) < c.sweepAt {
		return
	}
	for name, f := range c.flows {
		if f.jobs.len() == 0 && f.pass <= c.virtual {
			delete(c.flows, name)
		}
	}
	c.sweepAt = max(sweepLeast, 2*len(c.flows))
}

// add queues the item in f.
func (c *class) add(f *flow, it *item) {
	it.flow = f
	if f.jobs.len() == 0 {
		f.pass = f.start(c.virtual)
		c.active = append(c.active, f)
	}
	f.jobs.insert(&it.turn)
	c.waiting++
}

// remove takes the item out. Once no job waits, no flow is ahead of another.
func (c *class) remove(it *item) {
	f := it.flow
	f.jobs.remove(&it.turn)
	c.waiting--
	if f.jobs.len() == 0 {
		c.deactivate(f)
	}
	if c.waiting == 0 {
		c.virtual = c.top
	}
}

// deactivate takes f out of the active flows.
func (c *class) deactivate(f *flow) {
	i := slices.Index(c.active, f)
	last := len(c.active) - 1
	c.active[i] = c.active[last]
	c.active[last] = nil
	c.active = c.active[:last]
}

// next returns the job whose turn it is and charges its service. The job
// stays queued. At least one job waits.
func (c *class) next() *item {
	best := c.active[0]
	for _, f := range c.active[1:] {
		if f.pass < best.pass || f.pass == best.pass && f.name < best.name {
			best = f
		}
	}
	c.virtual = best.pass
	best.pass += best.stride
	c.top = max(c.top, best.pass)
	return best.jobs.first().item
}

// before returns how many waiting jobs of the class are served before the
// item, which is not queued yet, if it is queued in f now.
func (c *class) before(f *flow, it *item) int {
	own := f.jobs.before(&it.turn)
	at := f.start(c.virtual) + int64(own)*f.stride
	count := own
	for _, other := range c.active {
		if other != f {
			count += other.before(at, other.jobs.len(), other.name < f.name)
		}
	}
	return count
}
