package entry

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/timer"
)

func (g *gatherer) mayHedge(p *piece) bool {
	return !g.query.Once() && p.plan.Service().Hedge() && len(p.plan.Targets()) > 1
}

// retry sends the partition's sub-request another way if that is safe, allowed
// and can still be in time.
func (g *gatherer) retry(a *attempt, answer magnoliashore.SubAnswer) bool {
	p := a.piece
	if p.count >= maxAttempts {
		return false
	}
	if !hostRefused(answer) && !g.mayRetry(a, answer) {
		return false
	}
	r, ok := g.host.routeTo(p.plan.Targets(), p.tried, stepStandby)
	if !ok {
		return false
	}
	g.host.emit(magnoliashore.EventSpec{
		Code: event.QueryRetried, Query: g.query.ID(), Target: r.target, Detail: string(answer.Reason()),
	})
	g.host.meters.retries.Inc()
	g.sendExtra(p, r)
	return true
}

// hostRefused reports whether an entry host refused the sub-request before
// any target was asked, for a reason that lies with the host. It may then go
// another way, to the same target too, also if the query runs at most once.
func hostRefused(answer magnoliashore.SubAnswer) bool {
	if answer.Outcome() != magnoliashore.OutcomeNotRun {
		return false
	}
	switch answer.Reason() {
	case magnoliashore.ReasonLease, magnoliashore.ReasonOwner, magnoliashore.ReasonUnreachable:
		return true
	default:
		return false
	}
}

// mayRetry takes the attempt's target out of the choice, and reports whether
// the partition may be tried elsewhere and the budget allows it.
func (g *gatherer) mayRetry(a *attempt, answer magnoliashore.SubAnswer) bool {
	a.piece.tried.targets = append(a.piece.tried.targets, a.route.target)
	if g.query.Once() || !a.piece.plan.Service().Retry() {
		return false
	}
	return targetIsOut(answer) || g.host.budget.Take()
}

// targetIsOut reports whether the sub-request was refused because the target
// is to get no new work, which the root did not know yet. Another target is
// then no extra load.
func targetIsOut(answer magnoliashore.SubAnswer) bool {
	if answer.Outcome() != magnoliashore.OutcomeNotRun {
		return false
	}
	switch answer.Reason() {
	case magnoliashore.ReasonLeaving, magnoliashore.ReasonZone, magnoliashore.ReasonOff:
		return true
	default:
		return false
	}
}

func (g *gatherer) sendExtra(p *piece, r route) {
	batches := newBatches()
	batches.add(g.attempt(p, r, true))
	g.send(batches)
}

// nextHedge subscribes to the earliest time at which a partition is hedged.
func (g *gatherer) nextHedge() *timer.Subscription {
	var earliest time.Time
	for _, p := range g.pieces {
		if p.done || p.hedgeAt.IsZero() {
			continue
		}
		if earliest.IsZero() || p.hedgeAt.Before(earliest) {
			earliest = p.hedgeAt
		}
	}
	if earliest.IsZero() {
		return nil
	}
	return g.host.Timer.At(earliest)
}

// hedge sends a second sub-request for each partition that is late.
func (g *gatherer) hedge(now time.Time) {
	for _, p := range g.pieces {
		if p.done || p.hedgeAt.IsZero() || p.hedgeAt.After(now) {
			continue
		}
		p.hedgeAt = time.Time{}
		g.hedgePiece(p, now)
	}
}

// hedgePiece asks another target than the attempt before. If that one is late
// too, the next hedge may go back to the first target.
func (g *gatherer) hedgePiece(p *piece, now time.Time) {
	if p.count >= maxHedged {
		return
	}
	last := p.tried.routes[len(p.tried.routes)-1]
	without := exclusion{targets: append([]magnoliashore.TargetID{last.target}, p.tried.targets...)}
	r, ok := g.host.routeTo(p.plan.Targets(), without, stepOwner)
	if !ok || r.load.Cold() || r.load.Queue() > r.load.Limit() {
		return
	}
	if !g.host.hedger.Take() {
		return
	}
	g.host.meters.hedges.Inc()
	g.host.emit(magnoliashore.EventSpec{Code: event.QueryHedged, Query: g.query.ID(), Target: r.target})
	g.sendExtra(p, r)
	g.planHedge(p, now)
}

// planHedge sets when the partition is hedged next, if it may be.
func (g *gatherer) planHedge(p *piece, sent time.Time) {
	if delay, ok := g.host.hedger.Delay(p.plan.Service().Name()); ok && g.mayHedge(p) {
		p.hedgeAt = sent.Add(delay)
	}
}

// observeLoser records how long a first sub-request had run when a hedge beat
// it. Without it the learnt delay would drift down.
func (g *gatherer) observeLoser(a *attempt) {
	if !a.extra {
		g.host.hedger.Observe(a.piece.plan.Service().Name(), g.host.Timer.Now().Sub(a.at))
	}
}
