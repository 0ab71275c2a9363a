package registry

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// operation is a read that any source can answer.
type operation struct {
	answerTime time.Duration // time after which an answer is overdue
	waitTime   time.Duration // time for which the source may wait for a change besides
	// read makes the call. mayWait is false if the answer must come at once.
	read func(ctx context.Context, src Source, mayWait bool) (Batch, error)
}

// sourceCall is a call to one source.
type sourceCall struct {
	candidate Candidate
	began     time.Time
	mayWait   bool
	kept      bool // may use a connection that is older than the race
	overdue   bool
}

// sourceAnswer is the outcome of a call.
type sourceAnswer struct {
	call  *sourceCall
	batch Batch
	err   error
}

// race is an operation for which several sources may be called.
type race struct {
	selector *Selector
	op       operation
	answers  chan sourceAnswer
	running  []*sourceCall
	called   []string // names of the sources called so far
}

// race calls the preferred source, and further ones while answers are overdue. It
// returns the first useful answer, or a failure if no other call runs.
func (s *Selector) race(ctx context.Context, op operation) (Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // closes the connections of the other calls
	r := &race{selector: s, op: op, answers: make(chan sourceAnswer)}
	preferred := s.prefer()
	limit := op.answerTime
	mayWait := op.waitTime > 0 && preferred.Name == s.lastGood
	if mayWait {
		limit += op.waitTime
	}
	r.start(ctx, sourceCall{candidate: preferred, mayWait: mayWait, kept: true})
	overdue := s.Timer.After(limit)
	defer func() { overdue.Stop() }()
	for {
		select {
		case a := <-r.answers:
			if batch, done, err := r.receive(ctx, a); done {
				return batch, err
			}
		case <-overdue.C:
			r.handleOverdue(ctx)
			overdue = s.Timer.After(op.answerTime)
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// start calls a source.
func (r *race) start(ctx context.Context, call sourceCall) {
	name := call.candidate.Name
	src := r.selector.Store
	if name != StoreName {
		src = r.selector.Dial(call.candidate)
	}
	call.began = r.selector.Timer.Now()
	r.running = append(r.running, &call)
	r.called = append(r.called, name)
	go func() {
		batch, err := r.op.read(ctx, src, call.mayWait)
		batch.Source = name
		select {
		case r.answers <- sourceAnswer{call: &call, batch: batch, err: err}:
		case <-ctx.Done():
		}
	}()
}

// handleOverdue calls the next source, and the preferred one again if its connection
// may be silent. Both calls open connections: idle ones are closed before an answer
// is overdue.
func (r *race) handleOverdue(ctx context.Context) {
	s := r.selector
	for _, call := range slices.Clone(r.running) {
		if call.overdue {
			continue
		}
		call.overdue = true
		again := s.recordOverdue(call)
		s.Log.WithFields(log.Fields{
			"from": call.candidate.Name, "wait": call.mayWait, "took": s.Timer.Now().Sub(call.began).Round(time.Millisecond).String(), "again": again,
		}).Info("answer of a source of entries is overdue")
		if again {
			r.start(ctx, sourceCall{candidate: call.candidate})
		}
	}
	if next, ok := s.pick(r.called); ok {
		r.start(ctx, sourceCall{candidate: next})
	}
}

// receive records the outcome of a call. It reports whether the race is over: the
// answer is useful, or no other call runs.
func (r *race) receive(ctx context.Context, a sourceAnswer) (Batch, bool, error) {
	s := r.selector
	r.running = slices.DeleteFunc(r.running, func(c *sourceCall) bool { return c == a.call })
	name, batch, err := a.call.candidate.Name, a.batch, a.err
	switch {
	case errors.Is(err, ErrCompacted), ctx.Err() != nil:
		return batch, true, err
	case err != nil:
	case batch.Age > maxAge(batch.Hops):
		err = errors.Wrapf(errStale, "last contact %s ago", batch.Age)
	case batch.Hops > a.call.candidate.MaxHops:
		err = errors.Wrapf(errTooManyHops, "%d hosts away", batch.Hops)
	default:
		s.recordSuccess(name, batch.Hops)
		return batch, true, nil
	}
	s.recordFailure(name, a.call.began, err)
	return batch, len(r.running) == 0 || len(batch.Items) > 0, err
}
