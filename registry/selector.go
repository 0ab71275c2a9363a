package registry

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	firstAvoid = 2 * time.Second         // after a failure of a source, doubled with each further one; longer than a round of all
	lastAvoid  = 4 * time.Second         // so that a source that is back is found soon
	staleAge   = 2500 * time.Millisecond // of the knowledge of a host that reads the store, from which on another source is asked
)

// Reasons why a host that has answered is left for another source. What it
// said is taken nevertheless.
var (
	errStale = errors.New("the source is out of touch with the store")
	errFar   = errors.New("the source is too far from the store")
)

// staleAfter returns the age from which on knowledge that came through hosts
// is too old. Each host adds the time between two of its calls.
func staleAfter(hops int) time.Duration {
	return staleAge + time.Duration(max(0, hops-1))*(peerWait+gatherTime)
}

// answered reports whether a call has brought a batch.
func answered(err error) bool {
	return err == nil || errors.Is(err, errStale) || errors.Is(err, errFar)
}

// unreached is the number of hops of a host that has no source; none reads
// from a host so far away.
const unreached = 99

// FromStore stands for the store in the order of sources.
const FromStore = "store"

// Candidate is a place to read from.
type Candidate struct {
	Name string // FromStore, or the ip:port of a host
	// MaxHops is through how many hosts its answers may come: 1 for a host that
	// is to read the store itself.
	MaxHops int
}

// Selector is a source that reads from the store if this host is one of the
// few that do, and else from one of those. When its source fails, is out of
// touch with the store or has itself gone to other hosts, it takes the next
// one: so a host that cannot reach the store still learns of changes, a store
// that serves few hosts serves all, and hosts do not follow each other in a
// circle in which none asks the store.
type Selector struct {
	Store Source
	Dial  func(host Candidate) Source
	// Order returns where to read from, the best first.
	Order func() []Candidate
	Timer *timer.Service
	Log   log.Interface

	avoid   map[string]avoidance
	current string // the source asked last
	good    string // the source that answered well last, and has not failed since; "" if there is none
	hops    int    // of good
}

var _ Source = (*Selector)(nil)

// avoidance is how a source failed.
type avoidance struct {
	failures int
	until    time.Time
}

// List returns all items.
func (s *Selector) List(ctx context.Context) (Batch, error) {
	return s.call(ctx, func(src Source) (Batch, error) { return src.List(ctx) })
}

// Watch returns the items changed after a revision.
func (s *Selector) Watch(ctx context.Context, after uint64) (Batch, error) {
	return s.call(ctx, func(src Source) (Batch, error) { return src.Watch(ctx, after) })
}

// call makes one call. The hops of its answer are those of the source that
// answered well last: a try whether a better one is back does not change them.
func (s *Selector) call(ctx context.Context, ask func(Source) (Batch, error)) (Batch, error) {
	batch, err := s.try(ctx, ask)
	batch.Hops = s.hops
	if s.good == "" {
		batch.Hops = unreached
	}
	return batch, err
}

func (s *Selector) try(ctx context.Context, ask func(Source) (Batch, error)) (Batch, error) {
	from := s.pick()
	src := s.Store
	if from.Name != FromStore {
		src = s.Dial(from)
	}
	batch, err := ask(src)
	switch {
	case errors.Is(err, ErrCompacted), ctx.Err() != nil:
		return batch, err
	case err != nil:
	case batch.Age > staleAfter(batch.Hops):
		err = errors.Wrapf(errStale, "not heard for %s", batch.Age)
	case batch.Hops > from.MaxHops:
		err = errors.Wrapf(errFar, "%d hosts away", batch.Hops)
	default:
		delete(s.avoid, from.Name)
		s.good, s.hops = from.Name, batch.Hops
		return batch, nil
	}
	s.failed(from.Name, err)
	return batch, err
}

// pick returns the first source that did not fail a moment ago, or else the
// one whose failure is the longest past.
func (s *Selector) pick() Candidate {
	now := s.Timer.Now()
	var best Candidate
	for _, c := range s.Order() {
		until := s.avoid[c.Name].until
		if !now.Before(until) {
			best = c
			break
		}
		if best.Name == "" || until.Before(s.avoid[best.Name].until) {
			best = c
		}
	}
	if best.Name != s.current {
		s.Log.WithFields(log.Fields{"from": best.Name, "former": s.current}).Info("reading entries from another source")
		s.current = best.Name
	}
	return best
}

func (s *Selector) failed(name string, err error) {
	if s.good == name {
		s.good = ""
	}
	if s.avoid == nil {
		s.avoid = make(map[string]avoidance)
	}
	a := s.avoid[name]
	wait := min(firstAvoid<<min(a.failures, 10), lastAvoid)
	s.avoid[name] = avoidance{failures: a.failures + 1, until: s.Timer.Now().Add(wait)}
	s.Log.WithFields(log.Fields{"from": name, "reason": err.Error(), "avoided": wait.String()}).Debug("source of entries failed")
}
