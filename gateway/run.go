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

// mergedResult is the merged part of some shards.
type mergedResult struct {
	shards     []int
	signatures []string
	records    []byte
}

// event is the outcome of an attempt or something that a batch brought.
type event struct {
	shard  int
	result origin.Result
	batch  *batch
	bundle relay.Result
	closed bool // the batch brings nothing more
}

// queryRun is the course of a query on this host.
type queryRun struct {
	engine        *Engine
	query         *query
	progress      *scatter.Progress
	ctx           context.Context // ends the attempts
	events        chan event
	tried         [][]magnoliashore.TargetID // by shard
	reached       []bool                     // by shard: a failed attempt has reached its target
	batches       []*batch
	results       []mergedResult
	unreported    int            // pieces not yet reported
	reportAt      time.Time      // when new pieces are to be reported; zero for never
	lastAnswer    *origin.Result // the latest answer that is not a part
	answer        *origin.Result // the answer of a query at one service
	extraAttempts int            // hedges and repeats
	refused       int            // attempts that a target or a full queue refused

	failures map[int]string // by shard: how its latest attempt failed

	started        time.Time
	directShards   int           // shards that are asked from here
	directAnswered int           // of those, with a part in
	directMedian   time.Duration // after which half of them were in; zero if they are not
	batchMedian    time.Duration // the longest such time of a batch
}

// start begins a query. run.end has to be called when it is over.
func (e *Engine) start(ctx context.Context, q *query) (*queryRun, context.CancelFunc) {
	now := e.Timer.Now()
	attempts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &queryRun{
		engine: e, query: q, progress: scatter.NewProgress(q.params, now), ctx: attempts,
		events:   make(chan event, len(q.services)*(q.params.Attempts+eventsPerBatch)),
		tried:    make([][]magnoliashore.TargetID, len(q.services)),
		reached:  make([]bool, len(q.services)),
		started:  now,
		failures: make(map[int]string),
	}
	r.dispatch()
	return r, cancel
}

// eventsPerBatch bounds the bundles of a batch for each of its shards: one
// that brings the part, and one that closes the batch.
const eventsPerBatch = 2

// wait takes events until there is a verdict, or until there are pieces to
// report. It returns false if ctx has ended, because the caller has left.
func (r *queryRun) wait(ctx context.Context) (scatter.Decision, bool) {
	for {
		now := r.engine.Timer.Now()
		for _, i := range r.progress.Late(now) {
			if !r.tryShard(i, extraAttempt) {
				r.progress.PostponeHedge(now, i)
			}
		}
		if v := r.progress.Decide(now); v != scatter.Wait {
			return v, true
		}
		if r.reportDue(now) {
			return scatter.Wait, true
		}
		wake := r.engine.Timer.At(r.nextWake(now))
		select {
		case ev := <-r.events:
			r.handle(ev)
		case <-wake.C:
		case <-ctx.Done():
			wake.Stop()
			return scatter.Wait, false
		}
		wake.Stop()
		r.handleQueued()
	}
}

// reportDue reports whether there are pieces to report.
func (r *queryRun) reportDue(now time.Time) bool {
	return !r.reportAt.IsZero() && r.unreported > 0 && !now.Before(r.reportAt)
}

// nextWake returns when there is something to do if nothing comes in.
func (r *queryRun) nextWake(now time.Time) time.Time {
	wake := r.progress.Wake(now)
	if r.reportAt.After(now) && r.reportAt.Before(wake) {
		return r.reportAt
	}
	return wake
}

// handleQueued takes the events that wait, so that a verdict rests on all of them.
func (r *queryRun) handleQueued() {
	for {
		select {
		case ev := <-r.events:
			r.handle(ev)
		default:
			return
		}
	}
}

// handle notes the outcome of an attempt, and makes the next one if the shard may
// be asked again.
func (r *queryRun) handle(ev event) {
	if ev.batch != nil {
		r.handleBatch(ev)
		return
	}
	i, result := ev.shard, ev.result
	if r.acceptable(result) {
		r.addResult(i, result)
		return
	}
	if result.Reply.NotRun || errors.Is(result.Err, origin.ErrNoConnection) {
		r.refused++
	}
	if result.Status != 0 && !result.Reply.NotRun {
		r.lastAnswer = &result
	}
	r.recordFailure(i, result)
	r.reached[i] = r.reached[i] || result.Sent
	why := unsentRetry
	if r.reached[i] || r.progress.Open(i) > 1 {
		why = extraAttempt
	}
	spent := r.query.request.Stream != nil && r.query.request.Stream.Started()
	if r.progress.Missed(i, !result.NotRun()) && !spent && r.tryShard(i, why) {
		return
	}
	r.progress.GiveUp(i)
}

// recordFailure notes how an attempt at a shard failed.
func (r *queryRun) recordFailure(i int, result origin.Result) {
	target := string(r.query.services[i])
	if tried := r.tried[i]; len(tried) > 0 {
		target += " " + string(tried[len(tried)-1])
	}
	switch {
	case result.Status != 0 && result.Reply.NotRun:
		r.failures[i] = fmt.Sprintf("%s refused with %d", target, result.Status)
	case result.Status != 0:
		r.failures[i] = fmt.Sprintf("%s answered %d", target, result.Status)
	default:
		r.failures[i] = fmt.Sprintf("%s (sent %t): %v", target, result.Sent, result.Err)
	}
}

// acceptable reports whether an answer ends the search for one.
func (r *queryRun) acceptable(result origin.Result) bool {
	if result.Status == 0 || result.Reply.NotRun {
		return false
	}
	if r.query.scatter {
		return result.Ran() && r.engine.Pool.Dialect.Signature(result.Reply.Proof)
	}
	return result.Status < http.StatusInternalServerError || r.query.params.AtMostOnce
}

// addResult notes the answer of a target to a shard's request. Only the first
// one of a shard counts.
func (r *queryRun) addResult(i int, result origin.Result) {
	if !r.progress.AddResult(i) {
		return
	}
	r.directAnswered++
	if r.directMedian == 0 && 2*r.directAnswered >= r.directShards {
		r.directMedian = r.engine.Timer.Now().Sub(r.started)
	}
	if !r.query.scatter {
		r.answer = &result
		return
	}
	r.results = append(r.results, mergedResult{shards: []int{i}, signatures: []string{result.Reply.Proof}, records: result.Body})
	r.unreported++
}

// tail returns what follows the answer; nil if the answer is whole.
func (r *queryRun) tail() *origin.Tail {
	if r.answer == nil {
		return nil
	}
	return r.answer.Tail
}

// bodyErr returns why the caller's body could not be read to its end; nil if it
// has not failed.
func (r *queryRun) bodyErr() error {
	if r.query.request.Stream == nil {
		return nil
	}
	return r.query.request.Stream.Err()
}

// handleBatch notes what a batch brought. A bundle with a shard of a former one
// is left out as a whole: its records cannot be told apart.
func (r *queryRun) handleBatch(ev event) {
	b := ev.batch
	if ev.closed {
		r.retryLostBatch(b)
		return
	}
	r.batchMedian = max(r.batchMedian, ev.bundle.MedianLatency)
	r.refused += ev.bundle.Refused
	if len(ev.bundle.Shards) > 0 && b.allPending(ev.bundle.Shards) {
		p := mergedResult{signatures: ev.bundle.Signatures, records: ev.bundle.Records}
		for _, at := range ev.bundle.Shards {
			i := b.shards[at]
			p.shards = append(p.shards, i)
			delete(b.pending, i)
			r.progress.AddResult(i)
		}
		r.results = append(r.results, p)
	}
	for _, at := range ev.bundle.Failed {
		r.failBatchShard(b, b.shards[at], ev.bundle.MayHaveRun)
	}
	if ev.bundle.Last {
		for i := range b.pending {
			r.failBatchShard(b, i, ev.bundle.MayHaveRun)
		}
	}
}

// retryLostBatch asks the shards of a batch whose host is lost from here.
func (r *queryRun) retryLostBatch(b *batch) {
	now := r.engine.Timer.Now()
	for i := range b.pending {
		delete(b.pending, i)
		r.progress.Recall(now, i)
		if !r.progress.Missed(i, true) || !r.tryShard(i, extraAttempt) {
			r.progress.GiveUp(i)
		}
	}
}

// failBatchShard notes that a batch brings no part of a shard.
func (r *queryRun) failBatchShard(b *batch, i int, ran bool) {
	if !b.pending[i] {
		return
	}
	delete(b.pending, i)
	r.progress.Missed(i, ran)
	r.progress.GiveUp(i)
}

// finish lets attempts that are not needed any more finish if they are short,
// and ends them at once if nobody waits for the answer.
func (r *queryRun) finish(cancel context.CancelFunc, callerLeft bool) {
	if callerLeft {
		cancel()
		return
	}
	r.engine.Timer.Call(linger, cancel)
}

// signatures returns the signatures of the parts that are in.
func (r *queryRun) signatures() []string {
	var proofs []string
	for _, p := range r.results {
		proofs = append(proofs, p.signatures...)
	}
	return proofs
}

// records returns the records of the parts that are in, merged.
func (r *queryRun) records() []byte {
	parts := make([][]byte, len(r.results))
	for i, p := range r.results {
		parts[i] = p.records
	}
	return scatter.MergeTopK(r.query.topK, parts)
}
