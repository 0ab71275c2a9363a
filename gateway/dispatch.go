package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/suspect"
)

// batch is a set of shards that another host queries.
type batch struct {
	call    *relay.Call
	peer    string
	sent    time.Time
	view    *catalog.View // when it was sent
	useful  bool          // a partial result has arrived
	ended   bool          // no further result is expected
	shards  []int         // indexes in the services of the query
	pending map[int]bool  // shards without an outcome
}

// dispatch sends the first attempts and the batches for all shards.
func (r *queryRun) dispatch() {
	if !r.query.useHelpers {
		for i := range r.query.services {
			if !r.progress.HasResult(i) {
				r.tryShard(i, firstAttempt)
			}
		}
		return
	}
	hosts := r.engine.Hosts
	helpers := hosts.Helpers()
	zones := make(map[magnoliashore.ZoneName]bool, len(helpers))
	for zone := range helpers {
		zones[zone] = zone != r.engine.Zone
	}
	routing := scatter.Plan(r.engine.Zone, r.replicas(), zones, newRandom())
	if r.query.probed {
		routing = routing.Without(r.progress.HasResult)
	}
	routing = scatter.Spread(routing, r.engine.Zone, hosts.Capacity(), helpers)
	for _, b := range routing.Batches {
		if !r.sendBatch(b) {
			routing.Direct = append(routing.Direct, b.Shards...)
		}
	}
	for _, i := range routing.Direct {
		r.tryShard(i, firstAttempt)
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// replicas returns the zone and cost of each target of each shard. Targets of a
// shard that are all limited count as local, so that this host queries it directly:
// it then knows before the first attempt whether the limits leave enough shards.
func (r *queryRun) replicas() [][]scatter.Replica {
	e := r.engine
	view := e.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	replicas := make([][]scatter.Replica, len(r.query.services))
	for i, service := range r.query.services {
		targets := view.Targets(service)
		limited := e.allLimited(targets)
		for _, t := range targets {
			zone := t.Zone()
			if limited {
				zone = e.Zone
			}
			replicas[i] = append(replicas[i], scatter.Replica{Zone: zone, Cost: e.Balancer.Cost(now, t, r.query.kind)})
		}
	}
	return replicas
}

// tryShard starts an attempt at a shard. It returns false if none is possible.
func (r *queryRun) tryShard(i int, kind attemptKind) bool {
	if !r.query.trial && r.engine.endsUnder(r.query, nil) >= suspect.ConvictingEnds {
		r.failures[i] = string(r.query.services[i]) + ": targets have ended under this request"
		r.progress.GiveUp(i)
		return false
	}
	if r.ctx.Err() != nil {
		r.progress.GiveUp(i)
		return false
	}
	a, ok := r.engine.pick(r.query, r.query.services[i], r.tried[i], kind)
	if !ok {
		r.progress.GiveUp(i)
		return false
	}
	r.tried[i] = append(r.tried[i], a.target.ID())
	r.progress.RecordAttempt(r.engine.Timer.Now(), i)
	switch kind {
	case firstAttempt:
		r.directShards++
	case extraAttempt:
		r.extraAttempts++
	case unsentRetry:
	}
	go func() {
		result := r.engine.makeAttempt(r.ctx, r.query, a)
		r.events <- event{shard: i, result: result}
	}()
	return true
}

// sendBatch sends a batch to another host. It returns false if it was not sent.
func (r *queryRun) sendBatch(b scatter.Batch) bool {
	link, ok := r.engine.Hosts.Link(b.Peer)
	if !ok {
		return false
	}
	q, e := r.query, r.engine
	now, view := e.Timer.Now(), e.View()
	request := relay.Request{
		ID: q.request.ID, Method: q.request.Method, URI: q.request.URI, Host: q.request.Host,
		Header: q.request.Header, Body: q.request.Body, Kind: q.kind, Priority: q.request.Priority,
		Timeout: e.timeUntil(q.deadline), HedgeAfter: q.params.HedgeAfter, PartialAfter: batchPartialAfter(q.params.PartialAfter),
		MaxAttempts: q.params.MaxAttempts, TopK: q.topK,
	}
	for _, i := range b.Shards {
		request.Shards = append(request.Shards, q.services[i])
	}
	request.Observations = e.report(request.Shards)
	call, err := link.Send(request)
	if err != nil {
		return false
	}
	sent := &batch{call: call, peer: b.Peer, sent: now, view: view, shards: b.Shards, pending: make(map[int]bool)}
	for _, i := range b.Shards {
		sent.pending[i] = true
		r.progress.RecordDelegation(now, i)
	}
	r.batches = append(r.batches, sent)
	go r.collect(sent)
	return true
}

// batchPartialAfter returns when a host should return the partial results of a
// batch if the coordinator may give a partial answer after partialAfter.
func batchPartialAfter(partialAfter time.Duration) time.Duration { return partialAfter * 7 / 8 }

// collect turns the results of a batch into events.
func (r *queryRun) collect(b *batch) {
	for {
		select {
		case result, ok := <-b.call.Results:
			if !ok {
				r.events <- event{batch: b, closed: true}
				return
			}
			r.events <- event{batch: b, batchResult: result}
		case <-r.ctx.Done():
			b.call.Cancel()
			return
		}
	}
}

// allPending reports whether none of the shards has an outcome yet.
func (b *batch) allPending(shards []int) bool {
	for _, index := range shards {
		if !b.pending[b.shards[index]] {
			return false
		}
	}
	return true
}
