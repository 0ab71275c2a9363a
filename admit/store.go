package admit

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// item is one queued job.
type item struct {
	job    magnoliashore.Job
	turn   node  // entry in the order of service
	expiry node  // entry in the order of deadlines
	flow   *flow // flow of the job's service; nil in a FIFO
}

// store indexes the queued jobs by ID and by deadline.
type store struct {
	byID   map[uint64]*item
	expiry order
	base   time.Time // time of key 0; keys are differences to it, so they use the monotonic clock
	seq    uint64
	free   []*item // unused items, kept for reuse
}

func newStore() store { return store{byID: make(map[uint64]*item)} }

// len returns the number of queued jobs.
func (s *store) len() int { return len(s.byID) }

// has reports whether the job is queued.
func (s *store) has(id uint64) bool {
	_, ok := s.byID[id]
	return ok
}

// key returns the key of a time in an order, in nanoseconds since base.
func (s *store) key(at time.Time) int64 { return int64(at.Sub(s.base)) }

// newItem returns an item for the job that is not queued yet. Both of its keys are
// the job's deadline.
func (s *store) newItem(now time.Time, job magnoliashore.Job) *item {
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

// reuse returns an unused item, or a new one if there is none.
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

// drop removes the item and returns its job. The caller must not use the item
// afterwards.
func (s *store) drop(it *item) magnoliashore.Job {
	delete(s.byID, it.job.ID)
	s.expiry.remove(&it.expiry)
	return s.discard(it)
}

// discard releases an item that is not queued and returns its job.
func (s *store) discard(it *item) magnoliashore.Job {
	job := it.job
	*it = item{}
	s.free = append(s.free, it)
	return job
}

// due returns the queued job with the earliest deadline, or nil if that deadline
// is after now+margin.
func (s *store) due(now time.Time, margin time.Duration) *item {
	n := s.expiry.first()
	if n == nil || n.key > s.key(now.Add(margin)) {
		return nil
	}
	return n.item
}
