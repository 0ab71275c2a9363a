package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// Batch answers a batch of another host. It returns the first result after
// PartialAfter and further ones as partial results arrive, until every shard has
// an outcome.
func (e *Engine) Batch(ctx context.Context, request relay.Request, reply func(relay.Result)) {
	if e.cutOff(e.Zone) {
		reply(relay.Result{Unsent: allShards(len(request.Shards)), Last: true})
		return
	}
	now := e.Timer.Now()
	e.adopt(request.Observations)
	q := &query{
		request: origin.Request{
			Method: request.Method, URI: request.URI, Host: request.Host, Header: request.Header, Body: request.Body,
			ID: request.ID, Priority: request.Priority,
		},
		received: now, kind: request.Kind, services: request.Shards, deadline: now.Add(request.Timeout), topK: request.TopK, scatter: true,
		withdrawn: make(chan struct{}),
		params: scatter.Params{
			Shards: len(request.Shards), MinShards: 1, MaxAttempts: catalog.ClampAttempts(request.MaxAttempts), HedgeAfter: request.HedgeAfter, Timeout: request.Timeout,
		},
	}
	q.setStage(waitsForConnection)
	e.inFlight.add(q)
	defer e.inFlight.remove(q)
	r := e.start(ctx, q)
	defer r.cancel()
	r.reportAt = now.Add(request.PartialAfter)
	for first := true; ; first = false {
		decision, ok := r.wait(ctx)
		if !ok {
			e.logBatch(request, r, "not needed any more")
			return
		}
		result := r.nextResult()
		if first { // the last result may never be needed
			result.Observations = e.report(request.Shards)
		}
		if result.Last = decision != scatter.Wait; result.Last {
			result.Unsent = r.unsentShards()
		}
		reply(result)
		if result.Last {
			e.logBatch(request, r, "all shards have an outcome")
			return
		}
	}
}

func allShards(count int) []int {
	shards := make([]int, count)
	for i := range shards {
		shards[i] = i
	}
	return shards
}

// logBatch logs a batch with missing partial results. Complete batches appear in
// the coordinator's log line.
func (e *Engine) logBatch(request relay.Request, r *queryRun, outcome string) {
	if r.progress.Missing() == 0 {
		return
	}
	e.Log.WithFields(log.Fields{
		"request": request.ID, "shards": len(request.Shards), "missing": r.progress.Missing(), "extra": r.extraAttempts,
		"refused": r.refused, "why": r.failureSummary(), "outcome": outcome,
		"took": e.Timer.Now().Sub(r.started).Round(100 * time.Microsecond).String(),
	}).Info("batch done")
}

// nextResult merges the results that were not reported yet.
func (r *queryRun) nextResult() relay.Result {
	var result relay.Result
	parts := make([][]byte, 0, r.unreported)
	for _, p := range r.results[len(r.results)-r.unreported:] {
		result.Shards = append(result.Shards, p.shards...)
		result.Signatures = append(result.Signatures, p.signatures...)
		parts = append(parts, p.records)
	}
	r.unreported = 0
	result.MedianLatency, result.Refused = r.medianLatency(r.engine.Timer.Now()), r.refused
	r.refused = 0
	result.Records = scatter.MergeTopK(r.query.topK, parts)
	result.MayHaveRun = r.progress.MayHaveRun()
	return result
}

// unsentShards returns the indexes of the shards that were not requested from any
// target.
func (r *queryRun) unsentShards() []int {
	var unsent []int
	for i := range r.query.services {
		if !r.reached[i] && !r.progress.ShardMayHaveRun(i) {
			unsent = append(unsent, i)
		}
	}
	return unsent
}
