package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// linger is how long an attempt that is not needed any more may go on before
// its connection is closed: a new connection costs a target more than the
// rest of a short request.
const linger = 300 * time.Millisecond

// piece is the merged part of some shards.
type piece struct {
	shards  []int
	proofs  []string
	records []byte
}

// event is the outcome of an attempt or something that a batch brought.
type event struct {
	shard  int
	result origin.Result
	batch  *batch
	bundle relay.Result
	closed bool // the batch brings nothing more
}

// run is the course of a query on this host.
type run struct {
	engine  *Engine
	query   *query
	race    *scatter.Progress
	ctx     context.Context // ends the attempts
	events  chan event
	tried   [][]magnoliashore.TargetID // by shard
	reached []bool                     // by shard: a failed attempt has reached its target
	batches []*batch
	pieces  []piece
	fresh   int            // pieces not yet reported
	report  time.Time      // when new pieces are to be reported; zero for never
	last    *origin.Result // the latest answer that is not a part
	whole   *origin.Result // the answer of a query at one service
	extra   int            // hedges and repeats
	refused int            // attempts that a target or a full queue refused

	faults map[int]string // by shard: how its latest attempt failed

	began     time.Time
	direct    int           // shards that are asked from here
	directIn  int           // of those, with a part in
	half      time.Duration // after which half of them were in; zero if they are not
	batchHalf time.Duration // the longest such time of a batch
}

// start begins a query. run.end has to be called when it is over.
func (e *Engine) start(ctx context.Context, q *query) (*run, context.CancelFunc) {
	now := e.Timer.Now()
	sends, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &run{
		engine: e, query: q, race: scatter.NewProgress(q.terms, now), ctx: sends,
		events:  make(chan event, len(q.services)*(q.terms.Attempts+eventsPerBatch)),
		tried:   make([][]magnoliashore.TargetID, len(q.services)),
		reached: make([]bool, len(q.services)),
		began:   now,
		faults:  make(map[int]string),
	}
	r.dispatch()
	return r, cancel
}

// eventsPerBatch bounds the bundles of a batch for each of its shards: one
// that brings the part, and one that closes the batch.
const eventsPerBatch = 2

// wait takes events until there is a verdict, or until there are pieces to
// report. It returns false if ctx has ended, because the caller has left.
func (r *run) wait(ctx context.Context) (scatter.Decision, bool) {
	for {
		now := r.engine.Timer.Now()
		for _, i := range r.race.Late(now) {
			if !r.ask(i, repeatSend) {
				r.race.PostponeHedge(now, i)
			}
		}
		if v := r.race.Decide(now); v != scatter.Wait {
			return v, true
		}
		if r.reportable(now) {
			return scatter.Wait, true
		}
		wake := r.engine.Timer.At(r.wake(now))
		select {
		case ev := <-r.events:
			r.take(ev)
		case <-wake.C:
		case <-ctx.Done():
			wake.Stop()
			return scatter.Wait, false
		}
		wake.Stop()
		r.drain()
	}
}

// reportable reports whether there are pieces to report.
func (r *run) reportable(now time.Time) bool {
	return !r.report.IsZero() && r.fresh > 0 && !now.Before(r.report)
}

// wake returns when there is something to do if nothing comes in.
func (r *run) wake(now time.Time) time.Time {
	wake := r.race.Wake(now)
	if r.report.After(now) && r.report.Before(wake) {
		return r.report
	}
	return wake
}

// drain takes the events that wait, so that a verdict rests on all of them.
func (r *run) drain() {
	for {
		select {
		case ev := <-r.events:
			r.take(ev)
		default:
			return
		}
	}
}

// take notes the outcome of an attempt, and makes the next one if the shard may
// be asked again.
func (r *run) take(ev event) {
	if ev.batch != nil {
		r.takeBundle(ev)
		return
	}
	i, result := ev.shard, ev.result
	if r.useful(result) {
		r.takePart(i, result)
		return
	}
	if result.Reply.NotRun || errors.Is(result.Err, origin.ErrNoConnection) {
		r.refused++
	}
	if result.Status != 0 && !result.Reply.NotRun {
		r.last = &result
	}
	r.fault(i, result)
	r.reached[i] = r.reached[i] || result.Sent
	why := unsentSend
	if r.reached[i] || r.race.Open(i) > 1 {
		why = repeatSend
	}
	spent := r.query.request.Stream != nil && r.query.request.Stream.Started()
	if r.race.Missed(i, !result.NotRun()) && !spent && r.ask(i, why) {
		return
	}
	r.race.GiveUp(i)
}

// fault notes how an attempt at a shard failed.
func (r *run) fault(i int, result origin.Result) {
	target := string(r.query.services[i])
	if tried := r.tried[i]; len(tried) > 0 {
		target += " " + string(tried[len(tried)-1])
	}
	switch {
	case result.Status != 0 && result.Reply.NotRun:
		r.faults[i] = fmt.Sprintf("%s refused with %d", target, result.Status)
	case result.Status != 0:
		r.faults[i] = fmt.Sprintf("%s answered %d", target, result.Status)
	default:
		r.faults[i] = fmt.Sprintf("%s (sent %t): %v", target, result.Sent, result.Err)
	}
}

// useful reports whether an answer ends the search for one.
func (r *run) useful(result origin.Result) bool {
	if result.Status == 0 || result.Reply.NotRun {
		return false
	}
	if r.query.scatters {
		return result.Ran() && r.engine.Pool.Dialect.Signature(result.Reply.Proof)
	}
	return result.Status < http.StatusInternalServerError || r.query.terms.AtMostOnce
}

// takePart notes the answer of a target to a shard's request. Only the first
// one of a shard counts.
func (r *run) takePart(i int, result origin.Result) {
	if !r.race.AddResult(i) {
		return
	}
	r.directIn++
	if r.half == 0 && 2*r.directIn >= r.direct {
		r.half = r.engine.Timer.Now().Sub(r.began)
	}
	if !r.query.scatters {
		r.whole = &result
		return
	}
	r.pieces = append(r.pieces, piece{shards: []int{i}, proofs: []string{result.Reply.Proof}, records: result.Body})
	r.fresh++
}

// tail returns what follows the answer; nil if the answer is whole.
func (r *run) tail() *origin.Tail {
	if r.whole == nil {
		return nil
	}
	return r.whole.Tail
}

// broken returns why the caller's body could not be read to its end; nil if it
// has not failed.
func (r *run) broken() error {
	if r.query.request.Stream == nil {
		return nil
	}
	return r.query.request.Stream.Err()
}

// takeBundle notes what a batch brought. A bundle with a shard of a former one
// is left out as a whole: its records cannot be told apart.
func (r *run) takeBundle(ev event) {
	b := ev.batch
	if ev.closed {
		r.recallLost(b)
		return
	}
	r.batchHalf = max(r.batchHalf, ev.bundle.MedianLatency)
	r.refused += ev.bundle.Refused
	if len(ev.bundle.Shards) > 0 && b.unseen(ev.bundle.Shards) {
		p := piece{proofs: ev.bundle.Signatures, records: ev.bundle.Records}
		for _, at := range ev.bundle.Shards {
			i := b.shards[at]
			p.shards = append(p.shards, i)
			delete(b.open, i)
			r.race.AddResult(i)
		}
		r.pieces = append(r.pieces, p)
	}
	for _, at := range ev.bundle.Failed {
		r.giveUp(b, b.shards[at], ev.bundle.MayHaveRun)
	}
	if ev.bundle.Last {
		for i := range b.open {
			r.giveUp(b, i, ev.bundle.MayHaveRun)
		}
	}
}

// recallLost asks the shards of a batch whose host is lost from here.
func (r *run) recallLost(b *batch) {
	now := r.engine.Timer.Now()
	for i := range b.open {
		delete(b.open, i)
		r.race.Recall(now, i)
		if !r.race.Missed(i, true) || !r.ask(i, repeatSend) {
			r.race.GiveUp(i)
		}
	}
}

// giveUp notes that a batch brings no part of a shard.
func (r *run) giveUp(b *batch, i int, ran bool) {
	if !b.open[i] {
		return
	}
	delete(b.open, i)
	r.race.Missed(i, ran)
	r.race.GiveUp(i)
}

// end lets attempts that are not needed any more finish if they are short,
// and ends them at once if nobody waits for the answer.
func (r *run) end(cancel context.CancelFunc, left bool) {
	if left {
		cancel()
		return
	}
	r.engine.Timer.Call(linger, cancel)
}

// proofs returns the signatures of the parts that are in.
func (r *run) proofs() []string {
	var proofs []string
	for _, p := range r.pieces {
		proofs = append(proofs, p.proofs...)
	}
	return proofs
}

// records returns the records of the parts that are in, merged.
func (r *run) records() []byte {
	parts := make([][]byte, len(r.pieces))
	for i, p := range r.pieces {
		parts[i] = p.records
	}
	return scatter.MergeTopK(r.query.best, parts)
}
