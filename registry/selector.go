package registry

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	minAvoidTime = 2 * time.Second         // time to avoid a failed source, doubled by each further failure; longer than a round of all sources
	maxAvoidTime = 4 * time.Second         // limits how long a recovered source remains unused
	maxReaderAge = 2500 * time.Millisecond // age beyond which the data of a host that reads the store is stale
)

// Reasons to switch to another source although the host answered. Its answer is
// applied nevertheless.
var (
	errStale       = errors.New("the source has lost contact with the store")
	errTooManyHops = errors.New("the source is too far from the store")
)

// errFormerEra means that the source does not know yet that the store was
// restored. Its answer is not applied.
var errFormerEra = errors.New("the source has entries of a former era of the store")

// maxAge returns the age beyond which data that came through hosts is stale. Each
// host adds the time between two of its calls.
func maxAge(hops int) time.Duration {
	return maxReaderAge + time.Duration(max(0, hops-1))*(longPollTime+coalesceDelay)
}

// hasBatch reports whether a call with this error has returned a batch.
func hasBatch(err error) bool {
	return err == nil || errors.Is(err, errStale) || errors.Is(err, errTooManyHops)
}

// unreachableHops is the number of hops that a host without a working source
// reports. No host reads from a host that far away.
const unreachableHops = 99

// StoreName is the name of the store as a candidate.
const StoreName = "store"

// Candidate is a source that a Selector may read from.
type Candidate struct {
	Name string // StoreName, or the ip:port of a host
	// MaxHops is the largest number of hosts that its answers may come through: 1
	// for a host that should read the store itself.
	MaxHops int
}

// Selector is a source that reads from the first usable candidate: the store on
// the few hosts that read it, one of those hosts on all others. It switches to
// the next candidate if the current one fails, has lost contact with the store,
// or reads from other hosts itself. A host that cannot reach the store thus still
// receives changes, and a store that serves few hosts serves all. The limit on
// hops prevents cycles of hosts none of which reads the store.
type Selector struct {
	Store Source
	Dial  func(host Candidate) Source
	// Order returns the candidates, the preferred one first.
	Order func() []Candidate
	Timer *timer.Service
	Log   log.Interface

	avoided      map[string]avoidance
	current      string // source of the latest call
	lastGood     string // source of the latest good answer; empty if it has failed since
	lastGoodHops int    // of the latest good answer
	misses       int    // calls since the latest good answer
}

var _ Source = (*Selector)(nil)

// avoidance records the failures of a source and how long it is avoided.
type avoidance struct {
	failures int
	until    time.Time
}

// List returns all items.
func (s *Selector) List(ctx context.Context) (Batch, error) {
	return s.call(ctx, func(src Source) (Batch, error) { return src.List(ctx) })
}

// Watch returns the items changed after a position. The first call to another
// source than that of the latest good answer does not wait: a restored store that
// stands at the same revision as the position would reveal its era only at the end
// of the wait.
func (s *Selector) Watch(ctx context.Context, after Position, wait bool) (Batch, error) {
	return s.call(ctx, func(src Source) (Batch, error) {
		batch, err := src.Watch(ctx, after, wait && s.current == s.lastGood)
		switch {
		case err != nil:
		case batch.Position.Era > after.Era:
			// The store was restored, so the changes do not follow those before after.
			err = ErrCompacted
		case batch.Position.Era < after.Era:
			err = errors.Wrapf(errFormerEra, "era %d, known is %d", batch.Position.Era, after.Era)
		}
		return batch, err
	})
}

const (
	fellowTimeout  = 300 * time.Millisecond // a starting host waits no longer for one other host
	fellowsTimeout = 600 * time.Millisecond // and for all of them
	// A starting host asks again within this time, in which it learns of more hosts:
	// the first ones that it finds may be starting as well.
	minFellowTime  = 100 * time.Millisecond
	fellowInterval = 20 * time.Millisecond // between two rounds
)

// Reasons not to ask another host before the first call to the usual source.
var (
	errNoFellow  = errors.New("no other host is known")
	errNotReader = errors.New("this host reads from other hosts anyway")
)

// ListFellow returns all items of another host, for a host that would start with
// those of the store.
func (s *Selector) ListFellow(ctx context.Context) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, fellowsTimeout)
	defer cancel()
	began := s.Timer.Now()
	for {
		batch, err := s.listAnyFellow(ctx)
		if err == nil || errors.Is(err, errNotReader) || ctx.Err() != nil || s.Timer.Now().Sub(began) >= minFellowTime {
			return batch, err
		}
		s.Timer.Sleep(fellowInterval)
	}
}

// listAnyFellow returns all items of the first other host that has any.
func (s *Selector) listAnyFellow(ctx context.Context) (Batch, error) {
	order := s.Order()
	if order[0].Name != StoreName {
		return Batch{}, errNotReader
	}
	err := errNoFellow
	for _, candidate := range order[1:] {
		var batch Batch
		if batch, err = s.listFrom(ctx, candidate); err == nil {
			return batch, nil
		}
	}
	return Batch{}, err
}

func (s *Selector) listFrom(ctx context.Context, host Candidate) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, fellowTimeout)
	defer cancel()
	batch, err := s.Dial(host).List(ctx)
	batch.Source = host.Name
	return batch, err
}

// call makes one call. It reports the hops of the latest good answer, so that
// trying whether a preferred source has recovered does not change them.
func (s *Selector) call(ctx context.Context, read func(Source) (Batch, error)) (Batch, error) {
	batch, err := s.callPicked(ctx, read)
	batch.Hops = s.lastGoodHops
	if s.lastGood == "" {
		batch.Hops = unreachableHops
	}
	return batch, err
}

func (s *Selector) callPicked(ctx context.Context, read func(Source) (Batch, error)) (Batch, error) {
	candidate := s.pick()
	src := s.Store
	if candidate.Name != StoreName {
		src = s.Dial(candidate)
	}
	began := s.Timer.Now()
	batch, err := read(src)
	batch.Source = candidate.Name
	switch {
	case errors.Is(err, ErrCompacted), ctx.Err() != nil:
		return batch, err
	case err != nil:
	case batch.Age > maxAge(batch.Hops):
		err = errors.Wrapf(errStale, "last contact %s ago", batch.Age)
	case batch.Hops > candidate.MaxHops:
		err = errors.Wrapf(errTooManyHops, "%d hosts away", batch.Hops)
	default:
		delete(s.avoided, candidate.Name)
		s.lastGood, s.lastGoodHops, s.misses = candidate.Name, batch.Hops, 0
		return batch, nil
	}
	s.recordFailure(candidate.Name, began, err)
	return batch, err
}

// pick returns the first candidate that is not avoided, or else the one whose
// avoidance ends first. Once all candidates have failed, every second call goes to
// the preferred one: when the store returns from an outage, entries reach the
// hosts from the store down, along the preferred candidates.
func (s *Selector) pick() Candidate {
	now := s.Timer.Now()
	order := s.Order()
	if s.misses >= len(order) && s.misses%2 == 0 {
		order = order[:1]
	}
	var picked Candidate
	for _, c := range order {
		until := s.avoided[c.Name].until
		if !now.Before(until) {
			picked = c
			break
		}
		if picked.Name == "" || until.Before(s.avoided[picked.Name].until) {
			picked = c
		}
	}
	if picked.Name != s.current {
		s.Log.WithFields(log.Fields{"from": picked.Name, "former": s.current}).Info("reading entries from another source")
		s.current = picked.Name
	}
	return picked
}

func (s *Selector) recordFailure(name string, began time.Time, err error) {
	s.misses++
	if s.lastGood == name {
		s.lastGood = ""
	}
	if s.avoided == nil {
		s.avoided = make(map[string]avoidance)
	}
	a := s.avoided[name]
	wait := min(minAvoidTime<<min(a.failures, 10), maxAvoidTime)
	s.avoided[name] = avoidance{failures: a.failures + 1, until: s.Timer.Now().Add(wait)}
	s.Log.WithFields(log.Fields{
		"from": name, "reason": err.Error(), "took": s.Timer.Now().Sub(began).Round(time.Millisecond).String(), "avoided": wait.String(),
	}).Info("source of entries failed")
}
