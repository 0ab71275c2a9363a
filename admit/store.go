package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// item is one queued job.
type item struct {
	job    magnoliashore.Job
	turn   node  // place in the order of service
	expiry node  // place in the order of deadlines
	flow   *flow // service that the job waits in; nil in a FIFO
}

// store holds every queued job by its number and by its deadline.
type store struct {
	byID   map[uint64]*item
	expiry order
	base   time.Time // zero of the keys, so that they keep monotonic readings
	seq    uint64
	free   []*item
}

func newStore() store { return store{byID: make(map[uint64]*item)} }

// len returns the number of queued jobs.
func (s *store) len() int { return len(s.byID) }

// has reports whether the job is queued.
func (s *store) has(id uint64) bool {
	_, ok := s.byID[id]
	return ok
}

// key returns the order key of a moment, in nanoseconds.
func (s *store) key(at time.Time) int64 { return int64(at.Sub(s.base)) }

// take returns an unqueued item of the job with its keys set: both by
// deadline.
func (s *store) take(now time.Time, job magnoliashore.Job) *item {
	if s.base.IsZero() {
		s.base = now
	}
	it := s.reuse()
	s.seq++
	it.job = job
	it.turn = node{key: s.key(job.Deadline), seq: s.seq, item: it}
	it.expiry = it.turn
	return it
}

// reuse returns an item that was dropped before, or a new one.
func (s *store) reuse() *item {
	last := len(s.free) - 1
	if last < 0 {
		return &item{}
	}
	it := s.free[last]
	s.free = s.free[:last]
	return it
}

// add queues the item.
func (s *store) add(it *item) {
	s.byID[it.job.ID] = it
	s.expiry.insert(&it.expiry)
}

// drop takes the item out and returns its job. The item must not be used any
// more.
func (s *store) drop(it *item) magnoliashore.Job {
	delete(s.byID, it.job.ID)
	s.expiry.remove(&it.expiry)
	return s.discard(it)
}

// discard gives back an item that is not queued and returns its job.
func (s *store) discard(it *item) magnoliashore.Job {
	job := it.job
	*it = item{}
	s.free = append(s.free, it)
	return job
}

// due returns the queued job with the earliest deadline if that deadline is
// at now+margin or before, or nil.
func (s *store) due(now time.Time, margin time.Duration) *item {
	n := s.expiry.first()
	if n == nil || n.key > s.key(now.Add(margin)) {
		return nil
	}
	return n.item
}
