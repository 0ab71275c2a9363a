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
	staleAge   = 2500 * time.Millisecond // of a host's knowledge, from which on another source is asked
)

// FromStore stands for the store in the order of sources.
const FromStore = "store"

// Selector is a source that reads from the store if this host is one of the
// few that do, and else from one of those. When its source fails or is out of
// touch with the store, it takes the next one: so a host that cannot reach the
// store still learns of changes, and a store that serves few hosts serves all.
type Selector struct {
	Store Source
	Dial  func(address string) Source
	// Order returns the addresses of the hosts to read from, and FromStore,
	// the best first.
	Order func() []string
	Timer *timer.Service
	Log   log.Interface

	avoid   map[string]avoidance
	current string
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

func (s *Selector) call(ctx context.Context, ask func(Source) (Batch, error)) (Batch, error) {
	name := s.pick()
	src := s.Store
	if name != FromStore {
		src = s.Dial(name)
	}
	batch, err := ask(src)
	switch {
	case errors.Is(err, ErrHistory), ctx.Err() != nil:
	case err != nil:
		s.failed(name, err.Error())
	case batch.Age > staleAge:
		s.failed(name, "it has not heard the store for "+batch.Age.String())
	default:
		delete(s.avoid, name)
	}
	return batch, err
}

// pick returns the name of the first source that did not fail a moment ago,
// or else of the one whose failure is the longest past.
func (s *Selector) pick() string {
	now := s.Timer.Now()
	best := ""
	for _, name := range s.Order() {
		until := s.avoid[name].until
		if !now.Before(until) {
			best = name
			break
		}
		if best == "" || until.Before(s.avoid[best].until) {
			best = name
		}
	}
	if best != s.current {
		s.Log.WithFields(log.Fields{"from": best, "former": s.current}).Info("reading entries from another source")
		s.current = best
	}
	return best
}

func (s *Selector) failed(name, why string) {
	if s.avoid == nil {
		s.avoid = make(map[string]avoidance)
	}
	a := s.avoid[name]
	wait := min(firstAvoid<<min(a.failures, 10), lastAvoid)
	s.avoid[name] = avoidance{failures: a.failures + 1, until: s.Timer.Now().Add(wait)}
	s.Log.WithFields(log.Fields{"from": name, "reason": why, "avoided": wait.String()}).Debug("source of entries failed")
}
