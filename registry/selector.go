package registry

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	minAvoidTime = 2 * time.Second // time to avoid a failed source, doubled by each further failure; longer than a round of all sources
	maxAvoidTime = 4 * time.Second // limits how long a recovered source remains unused

	// LongPollTime is how long a source may hold a call open while nothing changes.
	// A silent source is noticed that much later.
	LongPollTime = 500 * time.Millisecond
	// Time after which an answer that need not wait for a change is overdue. A slow
	// store answers within 250 ms.
	answerTime = 300 * time.Millisecond
	// The same for a listing, which may have several pages.
	listTime = 2 * answerTime
	// Age beyond which the data of a host that reads the store is stale: a long poll
	// and a call to another source have brought no answer.
	maxReaderAge = LongPollTime + 2*answerTime + coalesceDelay
)

// Reasons to switch to another source although the host answered. Its answer is
// applied nevertheless.
var (
	errStale       = errors.New("the source has lost contact with the store")
	errTooManyHops = errors.New("the source is too far from the store")
)

// errOverdue means that a source has not answered in time. Its answer still counts
// if it arrives later.
var errOverdue = errors.New("the answer is overdue")

// errFormerEra means that the source does not know yet that the store was
// restored. Its answer is not applied.
var errFormerEra = errors.New("the source has entries of a former era of the store")

// maxAge returns the age beyond which data that came through hosts is stale. Each
// host adds the time between two of its calls.
func maxAge(hops int) time.Duration {
	return maxReaderAge + time.Duration(max(0, hops-1))*(LongPollTime+coalesceDelay)
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
//
// If an answer is overdue, the same source is called over a new connection and the
// next candidate as well, and further candidates follow until one has answered. One
// event may silence the connections to all sources, so the time until a change
// arrives must not be a sum of timeouts.
type Selector struct {
	Store Source
	Dial  func(host Candidate) Source
	// Order returns the candidates, the preferred one first.
	Order func() []Candidate
	Timer *timer.Service
	Log   log.Interface
	// OnSilence is called when a kept connection has become silent: its source answers
	// over a new one. One event may have silenced others as well. May be nil.
	OnSilence func()

	avoided      map[string]avoidance
	overdue      map[string]time.Time // when the answer of a source over a kept connection was overdue, until its next good one
	current      string               // preferred source of the latest call
	lastGood     string               // source of the latest good answer; empty if it has failed since
	lastGoodHops int                  // of the latest good answer
	misses       int                  // calls since the latest good answer
}

var _ Source = (*Selector)(nil)

// avoidance records the failures of a source and how long it is avoided.
type avoidance struct {
	failures int
	until    time.Time
}

// List returns all items.
func (s *Selector) List(ctx context.Context) (Batch, error) {
	return s.call(ctx, operation{answerTime: listTime, read: func(ctx context.Context, src Source, _ bool) (Batch, error) {
		return src.List(ctx)
	}})
}

// Watch returns the items changed after a position. A call to another source than
// that of the latest good answer does not wait: a restored store that stands at the
// same revision as the position would reveal its era only at the end of the wait.
func (s *Selector) Watch(ctx context.Context, after Position, wait bool) (Batch, error) {
	op := operation{answerTime: answerTime, read: func(ctx context.Context, src Source, mayWait bool) (Batch, error) {
		batch, err := src.Watch(ctx, after, mayWait)
		switch {
		case err != nil:
		case batch.Position.Era > after.Era:
			// The store was restored, so the changes do not follow those before after.
			err = ErrCompacted
		case batch.Position.Era < after.Era:
			err = errors.Wrapf(errFormerEra, "era %d, known is %d", batch.Position.Era, after.Era)
		}
		return batch, err
	}}
	if wait {
		op.waitTime = LongPollTime
	}
	return s.call(ctx, op)
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

// call reads from the sources until one has answered. It reports the hops of the
// latest good answer, so that trying whether a preferred source has recovered does
// not change them.
func (s *Selector) call(ctx context.Context, op operation) (Batch, error) {
	batch, err := s.race(ctx, op)
	batch.Hops = s.lastGoodHops
	if s.lastGood == "" {
		batch.Hops = unreachableHops
	}
	return batch, err
}

// prefer returns the source for the next call.
func (s *Selector) prefer() Candidate {
	picked, _ := s.pick(nil)
	if picked.Name != s.current {
		s.Log.WithFields(log.Fields{"from": picked.Name, "former": s.current}).Info("reading entries from another source")
		s.current = picked.Name
	}
	return picked
}

// pick returns the first candidate outside exclude that is not avoided, or else the
// one whose avoidance ends first; false if all are excluded. Once all candidates have
// failed, every second call goes to the preferred one: when the store returns from
// an outage, entries reach the hosts from the store down, along the preferred
// candidates.
func (s *Selector) pick(exclude []string) (Candidate, bool) {
	now := s.Timer.Now()
	order := s.Order()
	if s.misses >= len(order) && s.misses%2 == 0 && len(exclude) == 0 {
		order = order[:1]
	}
	var picked Candidate
	for _, c := range order {
		if slices.Contains(exclude, c.Name) {
			continue
		}
		until := s.avoided[c.Name].until
		if !now.Before(until) {
			return c, true
		}
		if picked.Name == "" || until.Before(s.avoided[picked.Name].until) {
			picked = c
		}
	}
	return picked, picked.Name != ""
}

// recordSuccess records a good answer of a source.
func (s *Selector) recordSuccess(name string, hops int) {
	if at, ok := s.overdue[name]; ok && s.Timer.Now().Sub(at) < silencePeriod {
		s.reportSilence(name)
	}
	delete(s.avoided, name)
	delete(s.overdue, name)
	s.lastGood, s.lastGoodHops, s.misses = name, hops, 0
}

// recordOverdue records that the answer to a call is overdue. It reports whether the
// source should be called again at once, since only the connection may be silent.
func (s *Selector) recordOverdue(call *sourceCall) bool {
	name := call.candidate.Name
	if _, again := s.overdue[name]; again || !call.kept {
		s.recordFailure(name, call.began, errOverdue)
		return false
	}
	if s.overdue == nil {
		s.overdue = make(map[string]time.Time)
	}
	s.overdue[name] = s.Timer.Now()
	return true
}

// silencePeriod is the time after an overdue answer over a kept connection in which one
// over a new connection shows that the kept one is silent.
const silencePeriod = time.Second

// reportSilence reports that a kept connection to a source has become silent.
func (s *Selector) reportSilence(name string) {
	s.Log.WithField("from", name).Warn("a kept connection has become silent; others may have, too")
	if s.OnSilence != nil {
		s.OnSilence()
	}
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
