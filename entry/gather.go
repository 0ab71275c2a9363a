package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/merge"
	"github.com/magnoliashore/magnoliashore/plan"
	"github.com/magnoliashore/magnoliashore/timer"
)

// maxAttempts is the most sub-requests sent for one partition, hedges and
// retries included.
const maxAttempts = 4

// maxHedgedAttempts is the number of attempts at a partition after which it is
// not hedged any more.
const maxHedgedAttempts = 3

// attempt is one sub-request in flight.
type attempt struct {
	partition *partitionState
	sub       magnoliashore.Sub
	route     route
	sentAt    time.Time
	extra     bool   // a hedge or a retry
	cancel    func() // cancels the sub-request if this host itself sends to the target
}

// partitionState is the state of one partition of the query.
type partitionState struct {
	plan     plan.Partition
	excluded exclusion
	attempts int       // attempts made in all
	inFlight int       // attempts without an answer yet
	done     bool      // merged or given up
	hedgeAt  time.Time // when to hedge; zero for never
}

// gatherer runs a query on one snapshot: it sends a sub-request for each
// partition, with hedges and retries, and merges the answers.
type gatherer struct {
	host                 *Host
	query                magnoliashore.Query
	plan                 plan.Plan
	merger               *merge.Merger
	due                  time.Time // when the answer must be written
	answers              *mailbox
	answerBuffer         []magnoliashore.SubAnswer // buffer to exchange with the mailbox
	partitions           []*partitionState
	preallocated         []attempt           // storage for the first attempt at each partition
	inFlight             map[uint64]*attempt // by sub-request ID
	remaining            int                 // partitions that are not done
	sent                 int                 // sub-requests sent
	overloadedPartitions int                 // partitions given up because of overload
	snapshotRetired      bool                // a target no longer has the snapshot, and a newer one is published
	retryAfter           time.Duration       // longest retry-after of the refusals
}

func newGatherer(h *Host, query magnoliashore.Query, p plan.Plan, view magnoliashore.View) *gatherer {
	g := &gatherer{
		host:      h,
		query:     query,
		plan:      p,
		merger:    merge.New(p, view, query.Merge()),
		due:       answerDue(h.Timer.Now(), query.Deadline()),
		answers:   newMailbox(len(p.Partitions())),
		inFlight:  make(map[uint64]*attempt, len(p.Partitions())),
		remaining: len(p.Partitions()),
	}
	g.addPartitions(p.Partitions())
	return g
}

// addPartitions initialises the state of the partitions. It allocates one
// attempt and one route for each in advance.
func (g *gatherer) addPartitions(parts []plan.Partition) {
	n := len(parts)
	states := make([]partitionState, n)
	routes := make([]route, n)
	g.partitions = make([]*partitionState, n)
	g.preallocated = make([]attempt, n)
	for i, part := range parts {
		states[i].plan = part
		states[i].excluded.routes = routes[i : i : i+1]
		g.partitions[i] = &states[i]
	}
}

// newAttempt returns a preallocated attempt, or a new one.
func (g *gatherer) newAttempt() *attempt {
	if len(g.preallocated) == 0 {
		return new(attempt)
	}
	a := &g.preallocated[0]
	g.preallocated = g.preallocated[1:]
	return a
}

// run sends the first sub-requests and processes answers until every partition
// is done, the deadline passes or the caller cancels.
func (g *gatherer) run(ctx context.Context) {
	defer g.cancelAll()
	g.scatter()
	deadline := g.host.Timer.At(g.due)
	defer deadline.Stop()
	var hedge *timer.Subscription
	defer func() { stopTimer(hedge) }()
	for g.remaining > 0 && !g.snapshotRetired {
		stopTimer(hedge)
		hedge = g.nextHedge()
		select {
		case <-g.answers.ready:
			g.processAnswers()
		case now := <-timerChannel(hedge):
			g.hedge(now)
		case <-deadline.C:
			g.giveUp(magnoliashore.ReasonDeadline)
			return
		case <-ctx.Done():
			g.giveUp(magnoliashore.ReasonCancelled)
			return
		}
	}
}

func stopTimer(s *timer.Subscription) {
	if s != nil {
		s.Stop()
	}
}

func timerChannel(s *timer.Subscription) <-chan time.Time {
	if s == nil {
		return nil
	}
	return s.C
}

// processAnswers processes the answers that have arrived, including those that a
// retry receives immediately.
func (g *gatherer) processAnswers() {
	for {
		list := g.answers.swap(g.answerBuffer)
		for _, answer := range list {
			g.processAnswer(answer)
		}
		clear(list)
		g.answerBuffer = list
		if len(list) == 0 {
			return
		}
	}
}

// scatter sends the first sub-request of every partition, in one batch per owner.
func (g *gatherer) scatter() {
	batches := newBatches()
	for _, p := range g.partitions {
		g.addFirstAttempt(p, batches)
	}
	g.host.countFirstAttempts(g.sent)
	g.send(batches)
}

// addFirstAttempt adds the first attempt at a partition to the batches, or marks
// the partition missing if there is no route.
func (g *gatherer) addFirstAttempt(p *partitionState, batches *batches) {
	r, ok := g.host.routeTo(p.plan.Targets(), exclusion{}, viaStandby)
	if !ok {
		reason := p.plan.Reason()
		if reason == magnoliashore.ReasonNone {
			reason = magnoliashore.ReasonOwner
		}
		g.merger.Add(g.notSent(p, reason))
		g.markMissing(p, reason)
		return
	}
	a := g.startAttempt(p, r, false)
	batches.add(a)
	g.planHedge(p, a.sentAt)
}

// notSent returns the answer for a partition without a route. Its outcome is
// not run, since nothing was sent.
func (g *gatherer) notSent(p *partitionState, reason magnoliashore.Reason) magnoliashore.SubAnswer {
	sub := magnoliashore.NewSub(magnoliashore.SubSpec{
		Query: g.query.ID(), Partition: p.plan.PartitionID(), Snapshot: g.plan.Snapshot(),
	})
	return magnoliashore.Refuse(sub, reason, 0)
}

// startAttempt records a new attempt at the partition over the route.
func (g *gatherer) startAttempt(p *partitionState, r route, extra bool) *attempt {
	a := g.newAttempt()
	*a = attempt{
		partition: p,
		route:     r,
		extra:     extra,
		sentAt:    g.host.Timer.Now(),
		sub: magnoliashore.NewSub(magnoliashore.SubSpec{
			ID: g.host.lastSubID.Add(1), Query: g.query.ID(), Partition: p.plan.PartitionID(), Target: r.target,
			Snapshot: g.plan.Snapshot(), Deadline: g.due, Once: g.query.Once(), Body: g.query.Body(),
		}),
	}
	p.excluded.routes = append(p.excluded.routes, r)
	p.attempts++
	p.inFlight++
	g.sent++
	g.inFlight[a.sub.ID()] = a
	g.host.loads.sent(r.target)
	return a
}

func (g *gatherer) send(batches *batches) {
	for _, a := range batches.local {
		a.cancel = g.host.workers.submit(a.sub, g.addAnswer)
	}
	for _, b := range batches.remote {
		b.route.link.Submit(b.subs, g.addAnswer)
	}
}

// addAnswer queues a final answer. It may be called from any goroutine.
func (g *gatherer) addAnswer(answer magnoliashore.SubAnswer) { g.answers.put(answer) }

// processAnswer merges an answer. If it cannot be merged, processAnswer retries
// the partition, or gives it up when no other attempt is in flight.
func (g *gatherer) processAnswer(answer magnoliashore.SubAnswer) {
	a, ok := g.inFlight[answer.ID()]
	if !ok {
		return
	}
	g.endAttempt(a)
	g.host.loads.record(a.route.target, answer.Load())
	if a.partition.done {
		return
	}
	reason := g.merger.Add(answer)
	if reason == magnoliashore.ReasonNone {
		g.markMerged(a)
		return
	}
	g.retryAfter = max(g.retryAfter, answer.RetryAfter())
	if reason == magnoliashore.ReasonSnapshot && g.shouldRestart() {
		g.snapshotRetired = true
		return
	}
	if g.retry(a, answer) {
		return
	}
	if a.partition.inFlight == 0 {
		if isOverload(answer) {
			g.overloadedPartitions++
		}
		g.markMissing(a.partition, reason)
	}
}

// shouldRestart reports whether the whole query should restart because a newer
// snapshot is published.
func (g *gatherer) shouldRestart() bool {
	return g.host.canRestart(g.query, g.plan)
}

func (g *gatherer) endAttempt(a *attempt) {
	delete(g.inFlight, a.sub.ID())
	a.partition.inFlight--
	g.host.loads.ended(a.route.target)
}

func (g *gatherer) markMerged(a *attempt) {
	if !a.extra {
		g.host.hedger.Observe(a.partition.plan.Service().Name(), g.host.Timer.Now().Sub(a.sentAt))
	}
	a.partition.done = true
	g.remaining--
	g.cancelPartition(a.partition)
}

func (g *gatherer) markMissing(p *partitionState, reason magnoliashore.Reason) {
	g.merger.MarkMissing(p.plan.PartitionID(), reason)
	p.done = true
	g.remaining--
}

// giveUp marks every partition missing that is not done. Answers that have
// already arrived still count.
func (g *gatherer) giveUp(reason magnoliashore.Reason) {
	g.processAnswers()
	for _, a := range g.inFlight {
		if !a.partition.done {
			g.merger.Add(magnoliashore.Lose(a.sub, reason))
		}
	}
	for _, p := range g.partitions {
		if !p.done {
			g.markMissing(p, reason)
		}
	}
}

// cancelPartition cancels the attempts in flight at a partition that is done.
func (g *gatherer) cancelPartition(p *partitionState) {
	if p.inFlight == 0 {
		return
	}
	for _, a := range g.inFlight {
		if a.partition == p {
			g.observeCancelled(a)
			g.cancelAttempt(a)
		}
	}
}

func (g *gatherer) cancelAll() {
	for _, a := range g.inFlight {
		g.cancelAttempt(a)
	}
}

func (g *gatherer) cancelAttempt(a *attempt) {
	g.endAttempt(a)
	if a.cancel != nil {
		a.cancel()
		return
	}
	a.route.link.Cancel([]uint64{a.sub.ID()})
}

// answer returns the final answer. subs is the total number of sub-requests sent
// for the query.
func (g *gatherer) answer(subs int) magnoliashore.Answer {
	coverage := g.merger.Coverage()
	spec := magnoliashore.AnswerSpec{
		Query: g.query.ID(), Outcome: g.merger.Outcome(), Snapshot: g.plan.Snapshot(), Coverage: coverage,
		Subs: subs, Host: g.host.Settings.Host,
	}
	if missing := coverage.Missing(); len(missing) > 0 {
		spec.Reason = missing[0].Reason()
		spec.Detail = "partition " + string(missing[0].Partition()) + " is missing"
	}
	switch spec.Outcome {
	case magnoliashore.OutcomeNotRun:
		spec.RetryAfter = max(g.retryAfter, time.Millisecond)
		spec.Detail = "no target accepted the query"
	default:
		spec.Parts = g.merger.Parts()
		spec.Items = g.merger.Items()
	}
	if spec.Outcome == magnoliashore.OutcomeRan && coverage.Share() < g.requiredCoverage() {
		spec.Reason = magnoliashore.ReasonCoverage
		spec.Detail = "the answer covers less than the service needs"
	}
	if !coverage.Complete() {
		g.host.emit(magnoliashore.EventSpec{
			Code: event.QueryPartial, Query: g.query.ID(), Detail: string(spec.Reason) + ": " + spec.Detail,
		})
	}
	return magnoliashore.NewAnswer(spec)
}

// requiredCoverage returns the highest of the services' minimum coverages.
func (g *gatherer) requiredCoverage() float64 {
	required := 0.0
	for _, p := range g.partitions {
		required = max(required, p.plan.Service().Coverage())
	}
	return required
}
