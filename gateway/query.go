package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// linger is how long an attempt that is not needed any more may go on before
// its connection is closed: a new connection costs a target more than the
// rest of a short request.
const linger = 300 * time.Millisecond

// query is a request at the services that are to answer it: one, or one for
// each shard.
type query struct {
	request  origin.Request
	kind     string // requests of a kind take about the same time
	services []magnoliashore.ServiceName
	terms    scatter.Terms
	deadline time.Time
	best     int  // records of an answer over shards
	scatters bool // the answer is made of parts
	delegate bool // shards may be asked through other hosts
}

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
	bundle relay.Bundle
	closed bool // the batch brings nothing more
}

// batch is a set of shards that another host asks.
type batch struct {
	call   *relay.Call
	shards []int // indexes in the query
	open   map[int]bool
}

// run is the course of a query on this host.
type run struct {
	engine  *Engine
	query   *query
	race    *scatter.Race
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

// start begins a query. finish has to be called when it is over.
func (e *Engine) start(ctx context.Context, q *query) (*run, context.CancelFunc) {
	now := e.Timer.Now()
	sends, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &run{
		engine: e, query: q, race: scatter.NewRace(q.terms, now), ctx: sends,
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

// dispatch asks all shards.
func (r *run) dispatch() {
	if !r.query.delegate {
		for i := range r.query.services {
			r.ask(i, first)
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
	routing = scatter.Spread(routing, r.engine.Zone, hosts.Room(), helpers)
	for _, b := range routing.Batches {
		if !r.hand(b) {
			routing.Direct = append(routing.Direct, b.Shards...)
		}
	}
	for _, i := range routing.Direct {
		r.ask(i, first)
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// replicas returns the targets of each shard that may be asked.
func (r *run) replicas() [][]scatter.Replica {
	e := r.engine
	view := e.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	replicas := make([][]scatter.Replica, len(r.query.services))
	for i, service := range r.query.services {
		for _, t := range view.Targets(service) {
			replicas[i] = append(replicas[i], scatter.Replica{
				Target: t.ID(), Zone: t.Zone(), Cost: e.Book.Cost(now, t, r.query.kind),
			})
		}
	}
	return replicas
}

// ask sends a shard's request to a target.
func (r *run) ask(i int, why reason) bool {
	a, ok := r.engine.pick(r.query, r.query.services[i], r.tried[i], why)
	if !ok {
		r.race.Lose(i)
		return false
	}
	r.tried[i] = append(r.tried[i], a.target.ID())
	r.race.Sent(r.engine.Timer.Now(), i)
	switch why {
	case first:
		r.direct++
	case extra:
		r.extra++
	case unsent:
	}
	go func() {
		result := r.engine.send(r.ctx, r.query, a)
		r.events <- event{shard: i, result: result}
	}()
	return true
}

// hand sends a batch to a host of its zone.
func (r *run) hand(b scatter.Batch) bool {
	link, ok := r.engine.Hosts.Link(b.Peer)
	if !ok {
		return false
	}
	q, e := r.query, r.engine
	now := e.Timer.Now()
	ask := relay.Ask{
		ID: q.request.ID, Method: q.request.Method, URI: q.request.URI, Host: q.request.Host,
		Header: q.request.Header, Body: q.request.Body, Kind: q.kind, Rank: q.request.Rank,
		Patience: e.until(q.deadline), Hedge: q.terms.Hedge, Settle: batchSettle(q.terms.Settle),
		Attempts: q.terms.Attempts, Best: q.best,
	}
	for _, i := range b.Shards {
		ask.Shards = append(ask.Shards, q.services[i])
	}
	call, err := link.Ask(ask)
	if err != nil {
		return false
	}
	sent := &batch{call: call, shards: b.Shards, open: make(map[int]bool)}
	for _, i := range b.Shards {
		sent.open[i] = true
		r.race.Delegated(now, i)
	}
	r.batches = append(r.batches, sent)
	go r.collect(sent)
	return true
}

// batchSettle is when a batch is to be sent back for an answer that is given
// after settle.
func batchSettle(settle time.Duration) time.Duration { return settle * 7 / 8 }

// collect passes on the bundles of a batch.
func (r *run) collect(b *batch) {
	for {
		select {
		case bundle, ok := <-b.call.Bundles:
			if !ok {
				r.events <- event{batch: b, closed: true}
				return
			}
			r.events <- event{batch: b, bundle: bundle}
		case <-r.ctx.Done():
			b.call.Cancel()
			return
		}
	}
}

// wait takes events until there is a verdict, or until there are pieces to
// report. It returns false if ctx has ended.
func (r *run) wait(ctx context.Context) (scatter.Verdict, bool) {
	for {
		now := r.engine.Timer.Now()
		for _, i := range r.race.Late(now) {
			if !r.ask(i, extra) {
				r.race.Hold(now, i)
			}
		}
		if v := r.race.Verdict(now); v != scatter.Wait {
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
	if result.Reply.NotRun || errors.Is(result.Err, origin.ErrRoom) {
		r.refused++
	}
	if result.Status != 0 && !result.Reply.NotRun {
		r.last = &result
	}
	r.fault(i, result)
	r.reached[i] = r.reached[i] || result.Sent
	why := unsent
	if r.reached[i] || r.race.Open(i) > 1 {
		why = extra
	}
	if r.race.Missed(i, !result.NotRun()) && r.ask(i, why) {
		return
	}
	r.race.Lose(i)
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
		return result.Ran()
	}
	return result.Status < http.StatusInternalServerError || r.query.terms.Once
}

func (r *run) takePart(i int, result origin.Result) {
	if !r.race.In(i) {
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

func (r *run) takeBundle(ev event) {
	b := ev.batch
	r.batchHalf = max(r.batchHalf, ev.bundle.Half)
	r.refused += ev.bundle.Refused
	if len(ev.bundle.Shards) > 0 && b.unseen(ev.bundle.Shards) {
		p := piece{proofs: ev.bundle.Proofs, records: ev.bundle.Records}
		for _, at := range ev.bundle.Shards {
			i := b.shards[at]
			p.shards = append(p.shards, i)
			delete(b.open, i)
			r.race.In(i)
		}
		r.pieces = append(r.pieces, p)
	}
	for _, at := range ev.bundle.Failed {
		r.giveUp(b, b.shards[at], ev.bundle.Ran)
	}
	if ev.closed || ev.bundle.Last {
		for i := range b.open {
			r.giveUp(b, i, ev.closed || ev.bundle.Ran)
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
	r.race.Lose(i)
}

// unseen reports whether no bundle has brought any of the shards yet.
func (b *batch) unseen(shards []int) bool {
	for _, at := range shards {
		if !b.open[b.shards[at]] {
			return false
		}
	}
	return true
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
	return scatter.Best(r.query.best, parts)
}

// termsOf returns what a query on a route is held to if its caller waits for
// patience more.
func termsOf(route *catalog.Route, patience time.Duration) scatter.Terms {
	terms := scatter.Terms{
		Shards: 1, Needed: 1, Attempts: route.Attempts(), Timeout: patience, Once: !route.Repeatable(),
	}
	if !route.Scatters() {
		terms.Hedge = time.Duration(singleHedge * float64(route.Objective()))
		return terms
	}
	terms.Shards = len(route.Shards())
	terms.Needed = route.Needed()
	terms.Hedge = time.Duration(scatterHedge * float64(route.Objective()))
	terms.Settle = settleTime(route.Objective())
	return terms
}

// settleTime returns when an answer over shards is given with what is in: so
// long before the objective that it still reaches the caller within it.
func settleTime(objective time.Duration) time.Duration {
	lead := max(time.Duration(settleLead*float64(objective)), wayBack)
	return max(objective-lead, objective/2)
}

// wayBack is the least time before the objective at which an answer is given:
// the way of the request and of its answer, and the merge on a host with a
// fifth of a core.
const wayBack = 24 * time.Millisecond

// Shares of a route's objective.
const (
	singleHedge  = 0.5 // after which a request at one service is sent again
	scatterHedge = 0.3 // after which a shard is asked again; leaves the second replica as much
	settleLead   = 0.2 // before the objective, at which an answer is given with what is in
)
