package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// mergedResult holds the merged partial results of some shards.
type mergedResult struct {
	shards     []int
	signatures []string
	records    []byte
}

// event is the outcome of an attempt, or a result or the end of a batch.
type event struct {
	shard       int
	result      origin.Result
	batch       *batch
	batchResult relay.Result
	closed      bool // no further result of the batch follows
}

// queryRun is the state of a query that runs on this host.
type queryRun struct {
	engine        *Engine
	query         *query
	progress      *scatter.Progress
	ctx           context.Context    // context of the attempts
	cancel        context.CancelFunc // ends the attempts
	events        chan event
	tried         [][]magnoliashore.TargetID // by shard: the targets of its attempts
	reached       []bool                     // by shard: whether a failed attempt was sent
	batches       []*batch
	results       []mergedResult
	unreported    int            // trailing elements of results that were not reported yet
	reportAt      time.Time      // when to start reporting results; zero for never
	lastAnswer    *origin.Result // latest answer that is not acceptable
	answer        *origin.Result // answer of a query to one service
	extraAttempts int            // retries and hedges
	refused       int            // attempts refused by a target or a full queue

	failures map[int]string // by shard: failure of the latest attempt

	started        time.Time
	directShards   int           // shards that this host queries itself
	directAnswered int           // those with a partial result
	directMedian   time.Duration // time until half of them had one; zero before that
	batchMedian    time.Duration // longest such time of a batch
}

// start starts a query. The cancel of the returned run ends the attempts that still
// run. It is called as soon as the query is over, since an unneeded request delays
// others at a target that has a queue.
func (e *Engine) start(ctx context.Context, q *query) *queryRun {
	now := e.Timer.Now()
	attempts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &queryRun{
		engine: e, query: q, progress: scatter.NewProgress(q.params, now), ctx: attempts, cancel: cancel,
		events:   make(chan event, len(q.services)*(q.params.MaxAttempts+eventsPerBatch)),
		tried:    make([][]magnoliashore.TargetID, len(q.services)),
		reached:  make([]bool, len(q.services)),
		started:  now,
		failures: make(map[int]string),
	}
	for _, i := range q.first.shards {
		r.progress.RecordAttempt(now, i)
		r.progress.AddResult(i)
		r.results = append(r.results, q.first)
	}
	r.dispatch()
	return r
}

// run runs a query until there is a decision. It returns false if ctx ended because
// the caller left. The caller of run must call cancel of the returned run.
//
// A suspected query is not hedged. If it is over shards, one shard is queried first,
// and the others only if its target completes the query: else the query would end a
// target of each shard. The result of the first one is kept: another attempt at it could
// be at one target too many.
func (e *Engine) run(ctx context.Context, q *query) (*queryRun, scatter.Decision, bool) {
	if q.suspected {
		q.params.HedgeAfter = 0
	}
	if q.suspected && q.scatter {
		first, index := q.firstShard(e.View())
		r, decision, ok := e.runToDecision(ctx, first)
		if first.sent.Load() {
			q.sent.Store(true)
		}
		if !ok || decision != scatter.Answer {
			return r, decision, ok
		}
		r.cancel()
		q.probed, q.first = true, mergedResult{shards: []int{index}, signatures: r.signatures(), records: r.results[0].records}
		elapsed := e.Timer.Now().Sub(r.started)
		q.params.Timeout -= elapsed
		q.params.PartialAfter = max(q.params.PartialAfter-elapsed, 1)
	}
	return e.runToDecision(ctx, q)
}

func (e *Engine) runToDecision(ctx context.Context, q *query) (*queryRun, scatter.Decision, bool) {
	r := e.start(ctx, q)
	decision, ok := r.wait(ctx)
	r.judgeHelpers()
	return r, decision, ok
}

// judgeHelpers records which hosts have answered their batches. A host whose time for
// a first result is not over yet is not judged.
func (r *queryRun) judgeHelpers() {
	now := r.engine.Timer.Now()
	for _, b := range r.batches {
		overdue := r.query.params.PartialAfter > 0 && now.Sub(b.sent) >= r.query.params.PartialAfter
		if b.useful || b.ended || overdue {
			r.engine.Hosts.RecordHelp(b.peer, b.useful)
		}
	}
}

// firstShard returns the query for a random one of the shards that have a target, and its
// index.
func (q *query) firstShard(view *catalog.View) (*query, int) {
	var indexes []int
	for i, service := range q.services {
		if len(view.Targets(service)) > 0 {
			indexes = append(indexes, i)
		}
	}
	index := rand.IntN(len(q.services))
	if len(indexes) > 0 {
		index = indexes[rand.IntN(len(indexes))]
	}
	return &query{
		request: q.request, received: q.received, kind: q.kind, services: q.services[index : index+1 : index+1],
		params:   scatter.Params{Shards: 1, MinShards: 1, MaxAttempts: 1, Timeout: q.params.Timeout},
		deadline: q.deadline, topK: q.topK, scatter: true, suspected: true, trial: q.trial,
		withdrawn: q.withdrawn, whole: q,
	}, index
}

// eventsPerBatch is the most events of a batch per shard: one with the partial
// result and one that closes the batch.
const eventsPerBatch = 2

// wait handles events until there is a decision or there are results to report.
// It returns false if ctx ended because the caller left.
func (r *queryRun) wait(ctx context.Context) (scatter.Decision, bool) {
	cut := r.engine.nextCut()
	for {
		now := r.engine.Timer.Now()
		for _, i := range r.progress.DueHedges(now) {
			if r.engine.endsUnder(r.query, nil) > 0 || !r.tryShard(i, extraAttempt) {
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
		case <-cut:
			cut = r.engine.nextCut()
			if !r.query.params.AtMostOnce && r.engine.silentFor(r.query) {
				wake.Stop()
				return r.abort(), true
			}
		case <-r.engine.stop.ending.Done():
			wake.Stop()
			return r.abort(), true
		case <-wake.C:
		case <-ctx.Done():
			wake.Stop()
			return scatter.Wait, false
		}
		wake.Stop()
		r.handleQueued()
	}
}

// abort ends the attempts and waits for their outcomes, which tell whether any of them
// may have run. It returns scatter.Fail, unless a whole answer arrives just then: the rest
// of a long one ends with the attempts.
func (r *queryRun) abort() scatter.Decision {
	r.cancel()
	timeout := r.engine.Timer.After(abortTimeout)
	defer timeout.Stop()
	for r.progress.AnyInFlight() {
		select {
		case ev := <-r.events:
			r.handle(ev)
		case <-timeout.C:
			r.answer = nil
			return scatter.Fail
		}
	}
	if r.answer != nil && r.answer.Tail == nil {
		return scatter.Answer
	}
	r.answer = nil
	return scatter.Fail
}

// abortTimeout is how long the outcomes of aborted attempts are waited for.
const abortTimeout = 100 * time.Millisecond

// reportDue reports whether there are results to report now.
func (r *queryRun) reportDue(now time.Time) bool {
	return !r.reportAt.IsZero() && r.unreported > 0 && !now.Before(r.reportAt)
}

// nextWake returns when to act next if no event arrives.
func (r *queryRun) nextWake(now time.Time) time.Time {
	wake := r.progress.NextChange(now)
	if r.reportAt.After(now) && r.reportAt.Before(wake) {
		return r.reportAt
	}
	return wake
}

// handleQueued handles all queued events, so that the next decision includes
// them.
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

// handle records the outcome of an attempt and retries the shard if that is
// allowed.
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
	if errors.Is(result.Err, origin.ErrTargetGone) {
		r.replaceAttempt(i, result)
		return
	}
	if errors.IsAny(result.Err, origin.ErrWithdrawn, origin.ErrExhausted) { // other targets do not help
		r.recordFailure(i, result)
		r.progress.RecordFailure(i, false)
		r.progress.GiveUp(i)
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
	kind := unsentRetry
	if r.reached[i] || r.progress.InFlight(i) > 1 {
		kind = extraAttempt
	}
	bodyUsed := r.query.request.Stream != nil && r.query.request.Stream.Started()
	if r.progress.RecordFailure(i, !result.NotRun()) && !bodyUsed && !r.mayEndTargets(i, result) && r.tryShard(i, kind) {
		return
	}
	r.progress.GiveUp(i)
}

// replaceAttempt makes an attempt at another target in place of one that was not sent,
// since its target has left. It needs no budget: the first one has used what it needs.
func (r *queryRun) replaceAttempt(i int, result origin.Result) {
	r.recordFailure(i, result)
	if !r.progress.RecordUnsent(i) || !r.tryShard(i, unsentRetry) {
		r.progress.GiveUp(i)
	}
}

// mayEndTargets reports whether a request whose connection broke must not be sent to
// another target, since targets ended under the same request before. An end under
// this request alone does not count: most requests that a target takes along when it
// ends are innocent, and are retried.
func (r *queryRun) mayEndTargets(i int, result origin.Result) bool {
	return result.Broken() && r.engine.endsUnder(r.query, r.tried[i]) > 0
}

// recordFailure records why an attempt at a shard failed.
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

// acceptable reports whether an answer needs no retry.
func (r *queryRun) acceptable(result origin.Result) bool {
	if result.Status == 0 || result.Reply.NotRun {
		return false
	}
	if r.query.scatter {
		return result.Ran() && r.engine.Pool.Dialect.Signature(result.Reply.Signature)
	}
	failed := result.Status >= http.StatusInternalServerError || magnoliashore.IsRefusal(result.Status)
	return !failed || r.query.params.AtMostOnce
}

// addResult adds the answer of a target. Later answers of the same shard are
// ignored.
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
	r.results = append(r.results, mergedResult{shards: []int{i}, signatures: []string{result.Reply.Signature}, records: result.Body})
	r.unreported++
}

// tail returns the rest of an answer that was not read whole, or nil.
func (r *queryRun) tail() *origin.Tail {
	if r.answer == nil {
		return nil
	}
	return r.answer.Tail
}

// mayHaveRun reports whether any attempt at the query may have run.
func (r *queryRun) mayHaveRun() bool { return r.progress.MayHaveRun() || r.query.probed }

// bodyErr returns the error of reading a streamed body of the caller, or nil.
func (r *queryRun) bodyErr() error {
	if r.query.request.Stream == nil {
		return nil
	}
	return r.query.request.Stream.Err()
}

// handleBatch records a result of a batch. A result with a shard that already
// has an outcome is ignored as a whole, since its merged records cannot be
// separated.
func (r *queryRun) handleBatch(ev event) {
	b := ev.batch
	if ev.closed {
		b.ended = true
		r.retryLostBatch(b)
		return
	}
	r.engine.adopt(ev.batchResult.Observations)
	b.useful = b.useful || len(ev.batchResult.Shards) > 0
	b.ended = b.ended || ev.batchResult.Last
	r.batchMedian = max(r.batchMedian, ev.batchResult.MedianLatency)
	r.refused += ev.batchResult.Refused
	if len(ev.batchResult.Shards) > 0 && b.allPending(ev.batchResult.Shards) {
		p := mergedResult{signatures: ev.batchResult.Signatures, records: ev.batchResult.Records}
		for _, index := range ev.batchResult.Shards {
			i := b.shards[index]
			p.shards = append(p.shards, i)
			delete(b.pending, i)
			r.progress.AddResult(i)
		}
		r.results = append(r.results, p)
	}
	for _, index := range ev.batchResult.Unsent {
		r.returnBatchShard(b, b.shards[index])
	}
	if ev.batchResult.Last {
		for i := range b.pending {
			r.failBatchShard(b, i, ev.batchResult.MayHaveRun)
		}
	}
}

// retryLostBatch retries from this host the pending shards of a batch whose
// host is lost.
func (r *queryRun) retryLostBatch(b *batch) {
	lost, retried := len(b.pending), 0
	for i := range b.pending {
		delete(b.pending, i)
		r.progress.Undelegate(i, r.mayHaveUsed(b, i))
		if r.progress.RecordFailure(i, true) && r.engine.endsUnder(r.query, nil) == 0 && r.tryShard(i, extraAttempt) {
			retried++
			continue
		}
		if r.failures[i] == "" {
			r.failures[i] = string(r.query.services[i]) + " was left to " + b.peer + ", which is lost"
		}
		r.progress.GiveUp(i)
	}
	if lost > 0 {
		r.engine.Log.WithFields(log.Fields{
			"request": r.query.request.ID, "peer": b.peer, "shards": len(b.shards), "lost": lost, "retried": retried,
			"took": r.engine.Timer.Now().Sub(b.sent).Round(100 * time.Microsecond).String(),
		}).Info("host of a batch is lost")
	}
}

// mayHaveUsed returns how many targets of a shard the host of a batch may have used:
// those that this host knew when it sent the batch, or has heard of since.
func (r *queryRun) mayHaveUsed(b *batch, i int) int {
	ids := make(map[magnoliashore.TargetID]bool)
	for _, view := range []*catalog.View{b.view, r.engine.View()} {
		for _, t := range view.Known(r.query.services[i]) {
			ids[t.ID()] = true
		}
	}
	return len(ids)
}

// returnBatchShard queries a shard from this host, since the host of its batch has
// requested it from no target. That host may not know its targets yet.
func (r *queryRun) returnBatchShard(b *batch, i int) {
	if !b.pending[i] {
		return
	}
	delete(b.pending, i)
	r.progress.ReturnDelegation(i)
	if !r.progress.RecordFailure(i, false) || !r.tryShard(i, unsentRetry) {
		r.progress.GiveUp(i)
	}
}

// failBatchShard records that a batch returns no partial result for a shard.
func (r *queryRun) failBatchShard(b *batch, i int, mayHaveRun bool) {
	if !b.pending[i] {
		return
	}
	delete(b.pending, i)
	r.progress.RecordFailure(i, mayHaveRun)
	r.progress.GiveUp(i)
}

// signatures returns the signatures of all partial results.
func (r *queryRun) signatures() []string {
	var signatures []string
	for _, p := range r.results {
		signatures = append(signatures, p.signatures...)
	}
	return signatures
}

// records merges the records of all partial results.
func (r *queryRun) records() []byte {
	parts := make([][]byte, len(r.results))
	for i, p := range r.results {
		parts[i] = p.records
	}
	return scatter.MergeTopK(r.query.topK, parts)
}
