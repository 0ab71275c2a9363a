package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// Batch answers a batch of another host: once when it is to be sent back, and
// after that as parts come in, until every shard has an outcome.
func (e *Engine) Batch(ctx context.Context, ask relay.Request, reply func(relay.Result)) {
	now := e.Timer.Now()
	q := &query{
		request: origin.Request{
			Method: ask.Method, URI: ask.URI, Host: ask.Host, Header: ask.Header, Body: ask.Body,
			ID: ask.ID, Priority: ask.Priority,
		},
		kind: ask.Kind, services: ask.Shards, deadline: now.Add(ask.Timeout), best: ask.TopK, scatters: true,
		terms: scatter.Params{
			Shards: len(ask.Shards), MinShards: 1, Attempts: ask.Attempts, Hedge: ask.Hedge, Timeout: ask.Timeout,
		},
	}
	r, cancel := e.start(ctx, q)
	r.report = now.Add(ask.PartialAfter)
	for {
		verdict, ok := r.wait(ctx)
		if !ok {
			r.end(cancel, true)
			e.logBatch(ask, r, "not needed any more")
			return
		}
		bundle := r.bundle()
		bundle.Last = verdict != scatter.Wait
		reply(bundle)
		if bundle.Last {
			r.end(cancel, false)
			e.logBatch(ask, r, "all shards have an outcome")
			return
		}
	}
}

// logBatch writes the line of a batch of which the root does not have all
// parts. Batches without a fault are in the root's line.
func (e *Engine) logBatch(ask relay.Request, r *run, why string) {
	if r.race.Missing() == 0 {
		return
	}
	e.Log.WithFields(log.Fields{
		"request": ask.ID, "shards": len(ask.Shards), "missing": r.race.Missing(), "extra": r.extra,
		"refused": r.refused, "why": r.why(), "outcome": why,
		"took": e.Timer.Now().Sub(r.began).Round(100 * time.Microsecond).String(),
	}).Info("batch done")
}

// bundle merges the pieces that were not reported yet.
func (r *run) bundle() relay.Result {
	var b relay.Result
	parts := make([][]byte, 0, r.fresh)
	for _, p := range r.pieces[len(r.pieces)-r.fresh:] {
		b.Shards = append(b.Shards, p.shards...)
		b.Signatures = append(b.Signatures, p.proofs...)
		parts = append(parts, p.records)
	}
	r.fresh = 0
	b.MedianLatency, b.Refused = r.halfTook(r.engine.Timer.Now()), r.refused
	r.refused = 0
	b.Records = scatter.MergeTopK(r.query.best, parts)
	b.MayHaveRun = r.race.Ran()
	return b
}
