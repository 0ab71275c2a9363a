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

// maxAttempts is how many sub-requests one partition may cost.
const maxAttempts = 4

// maxHedged is how many attempts a partition may have had to be hedged again.
const maxHedged = 3

// attempt is one sub-request that was sent and not yet answered.
type attempt struct {
	piece  *piece
	sub    magnoliashore.Sub
	route  route
	at     time.Time
	extra  bool   // a hedge or a retry
	cancel func() // withdraws a sub-request to a target of this host
}

// piece is the state of one partition of the query.
type piece struct {
	plan    plan.Partition
	tried   exclusion
	count   int // attempts made
	open    int // attempts not yet answered
	done    bool
	hedgeAt time.Time // zero if it is not to be hedged
}

// gatherer runs one attempt at a query on one snapshot.
type gatherer struct {
	host    *Host
	query   magnoliashore.Query
	plan    plan.Plan
	merger  *merge.Merger
	due     time.Time
	answers *mailbox
	taken   []magnoliashore.SubAnswer // room that the mailbox gave back
	pieces  []*piece
	spare   []attempt // room for the first attempts
	waiting map[uint64]*attempt
	left    int
	sent    int
	crowded int           // partitions refused for too much work
	retired bool          // a target no longer has the snapshot
	refused time.Duration // longest advice when to come back
}

func newGatherer(h *Host, query magnoliashore.Query, p plan.Plan, view magnoliashore.View) *gatherer {
	g := &gatherer{
		host:    h,
		query:   query,
		plan:    p,
		merger:  merge.New(p, view, query.Merge()),
		due:     answerDue(h.Timer.Now(), query.Deadline()),
		answers: newMailbox(len(p.Partitions())),
		waiting: make(map[uint64]*attempt, len(p.Partitions())),
		left:    len(p.Partitions()),
	}
	g.addPieces(p.Partitions())
	return g
}

// addPieces sets the pieces up, with room for one attempt at each.
func (g *gatherer) addPieces(parts []plan.Partition) {
	n := len(parts)
	pieces := make([]piece, n)
	routes := make([]route, n)
	g.pieces = make([]*piece, n)
	g.spare = make([]attempt, n)
	for i, part := range parts {
		pieces[i].plan = part
		pieces[i].tried.routes = routes[i : i : i+1]
		g.pieces[i] = &pieces[i]
	}
}

// newAttempt returns room for an attempt.
func (g *gatherer) newAttempt() *attempt {
	if len(g.spare) == 0 {
		return new(attempt)
	}
	a := &g.spare[0]
	g.spare = g.spare[1:]
	return a
}

// run sends the first sub-requests and takes answers until every partition is
// settled, the deadline comes or the caller gives up.
func (g *gatherer) run(ctx context.Context) {
	defer g.withdrawAll()
	g.scatter()
	late := g.host.Timer.At(g.due)
	defer late.Stop()
	var hedge *timer.Subscription
	defer func() { stop(hedge) }()
	for g.left > 0 && !g.retired {
		stop(hedge)
		hedge = g.nextHedge()
		select {
		case <-g.answers.ready:
			g.takeAll()
		case now := <-channel(hedge):
			g.hedge(now)
		case <-late.C:
			g.giveUp(magnoliashore.ReasonDeadline)
			return
		case <-ctx.Done():
			g.giveUp(magnoliashore.ReasonCancelled)
			return
		}
	}
}

func stop(s *timer.Subscription) {
	if s != nil {
		s.Stop()
	}
}

func channel(s *timer.Subscription) <-chan time.Time {
	if s == nil {
		return nil
	}
	return s.C
}

// takeAll takes the answers that have arrived by now, and those that a retry
// gets at once.
func (g *gatherer) takeAll() {
	for {
		list := g.answers.swap(g.taken)
		for _, answer := range list {
			g.take(answer)
		}
		clear(list)
		g.taken = list
		if len(list) == 0 {
			return
		}
	}
}

// scatter sends the first sub-request of every partition, one batch an owner.
func (g *gatherer) scatter() {
	batches := newBatches()
	for _, p := range g.pieces {
		g.first(p, batches)
	}
	g.host.earn(g.sent)
	g.send(batches)
}

func (g *gatherer) first(p *piece, batches *batches) {
	r, ok := g.host.routeTo(p.plan.Targets(), exclusion{}, stepStandby)
	if !ok {
		reason := p.plan.Reason()
		if reason == magnoliashore.ReasonNone {
			reason = magnoliashore.ReasonOwner
		}
		g.merger.Add(g.unsent(p, reason))
		g.fail(p, reason)
		return
	}
	a := g.attempt(p, r, false)
	batches.add(a)
	g.planHedge(p, a.at)
}

// unsent returns the answer for a partition that no host could be asked for:
// it certainly did not run.
func (g *gatherer) unsent(p *piece, reason magnoliashore.Reason) magnoliashore.SubAnswer {
	sub := magnoliashore.NewSub(magnoliashore.SubSpec{
		Query: g.query.ID(), Partition: p.plan.PartitionID(), Snapshot: g.plan.Snapshot(),
	})
	return magnoliashore.Refuse(sub, reason, 0)
}

// attempt registers a sub-request of the partition on the route.
func (g *gatherer) attempt(p *piece, r route, extra bool) *attempt {
	a := g.newAttempt()
	*a = attempt{
		piece: p,
		route: r,
		extra: extra,
		at:    g.host.Timer.Now(),
		sub: magnoliashore.NewSub(magnoliashore.SubSpec{
			ID: g.host.subs.Add(1), Query: g.query.ID(), Partition: p.plan.PartitionID(), Target: r.target,
			Snapshot: g.plan.Snapshot(), Deadline: g.due, Once: g.query.Once(), Body: g.query.Body(),
		}),
	}
	p.tried.routes = append(p.tried.routes, r)
	p.count++
	p.open++
	g.sent++
	g.waiting[a.sub.ID()] = a
	g.host.loads.sent(r.target)
	return a
}

func (g *gatherer) send(batches *batches) {
	for _, a := range batches.local {
		a.cancel = g.host.workers.submit(a.sub, g.reply)
	}
	for _, b := range batches.remote {
		b.route.link.Submit(b.subs, g.reply)
	}
}

// reply takes a final answer from any goroutine.
func (g *gatherer) reply(answer magnoliashore.SubAnswer) { g.answers.put(answer) }

// take merges an answer, or tries another replica, or gives the partition up.
func (g *gatherer) take(answer magnoliashore.SubAnswer) {
	a, ok := g.waiting[answer.ID()]
	if !ok {
		return
	}
	g.settle(a)
	g.host.loads.learn(a.route.target, answer.Load())
	if a.piece.done {
		return
	}
	reason := g.merger.Add(answer)
	if reason == magnoliashore.ReasonNone {
		g.merged(a)
		return
	}
	g.refused = max(g.refused, answer.After())
	if reason == magnoliashore.ReasonSnapshot && g.startAgain() {
		g.retired = true
		return
	}
	if g.retry(a, answer) {
		return
	}
	if a.piece.open == 0 {
		if isCrowded(answer) {
			g.crowded++
		}
		g.fail(a.piece, reason)
	}
}

// startAgain reports whether a newer snapshot is published, so that the whole
// query should start again.
func (g *gatherer) startAgain() bool {
	return g.host.canRestart(g.query, g.plan)
}

func (g *gatherer) settle(a *attempt) {
	delete(g.waiting, a.sub.ID())
	a.piece.open--
	g.host.loads.settled(a.route.target)
}

func (g *gatherer) merged(a *attempt) {
	if !a.extra {
		g.host.hedger.Observe(a.piece.plan.Service().Name(), g.host.Timer.Now().Sub(a.at))
	}
	a.piece.done = true
	g.left--
	g.withdrawPiece(a.piece)
}

func (g *gatherer) fail(p *piece, reason magnoliashore.Reason) {
	g.merger.MarkMissing(p.plan.PartitionID(), reason)
	p.done = true
	g.left--
}

// giveUp settles every open partition as missing.
func (g *gatherer) giveUp(reason magnoliashore.Reason) {
	g.takeAll()
	for _, a := range g.waiting {
		if !a.piece.done {
			g.merger.Add(magnoliashore.Lose(a.sub, reason))
		}
	}
	for _, p := range g.pieces {
		if !p.done {
			g.fail(p, reason)
		}
	}
}

// withdrawPiece cancels what still runs for a partition that is settled.
func (g *gatherer) withdrawPiece(p *piece) {
	if p.open == 0 {
		return
	}
	for _, a := range g.waiting {
		if a.piece == p {
			g.observeLoser(a)
			g.withdraw(a)
		}
	}
}

func (g *gatherer) withdrawAll() {
	for _, a := range g.waiting {
		g.withdraw(a)
	}
}

func (g *gatherer) withdraw(a *attempt) {
	g.settle(a)
	if a.cancel != nil {
		a.cancel()
		return
	}
	a.route.link.Cancel([]uint64{a.sub.ID()})
}

// answer returns the final answer; subs is the number of sub-requests that
// the query cost in all.
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
		spec.After = max(g.refused, time.Millisecond)
		spec.Detail = "no target accepted the query"
	default:
		spec.Parts = g.merger.Parts()
		spec.Items = g.merger.Items()
	}
	if spec.Outcome == magnoliashore.OutcomeRan && coverage.Share() < g.leastCoverage() {
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

// leastCoverage returns the highest of the rows' lowest useful coverages.
func (g *gatherer) leastCoverage() float64 {
	least := 0.0
	for _, p := range g.pieces {
		least = max(least, p.plan.Service().Coverage())
	}
	return least
}
