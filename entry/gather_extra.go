package entry

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/timer"
)

// mayHedge reports whether the partition may be sent to a second replica.
func (g *gatherer) mayHedge(p *partitionState) bool {
	return !g.query.Once() && p.plan.Service().Hedge() && len(p.plan.Targets()) > 1
}

// retry sends the partition's sub-request over another route if that is safe and
// the attempts and the budget allow it.
func (g *gatherer) retry(a *attempt, answer magnoliashore.SubAnswer) bool {
	p := a.partition
	if p.attempts >= maxAttempts {
		return false
	}
	if !refusedByHost(answer) && !g.mayRetry(a, answer) {
		return false
	}
	r, ok := g.host.routeTo(p.plan.Targets(), p.excluded, viaStandby)
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

// refusedByHost reports whether an entry host refused the sub-request before
// it was sent to any target, for a reason that concerns the host. It may then be
// sent over another route, also to the same target, even if the query runs at
// most once.
func refusedByHost(answer magnoliashore.SubAnswer) bool {
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

// mayRetry excludes the attempt's target from further attempts. It reports
// whether the partition may be retried on another target and the budget allows
// it.
func (g *gatherer) mayRetry(a *attempt, answer magnoliashore.SubAnswer) bool {
	a.partition.excluded.targets = append(a.partition.excluded.targets, a.route.target)
	if g.query.Once() || !a.partition.plan.Service().Retry() {
		return false
	}
	return targetUnavailable(answer) || g.host.budget.Take()
}

// targetUnavailable reports whether the sub-request was refused because the
// target must get no new work, which the coordinator's view did not show yet. A
// retry on another target then adds no load, so it is not charged to the budget.
func targetUnavailable(answer magnoliashore.SubAnswer) bool {
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

// sendExtra sends a hedge or a retry.
func (g *gatherer) sendExtra(p *partitionState, r route) {
	batches := newBatches()
	batches.add(g.startAttempt(p, r, true))
	g.send(batches)
}

// nextHedge subscribes to the earliest time at which a partition is to be hedged.
// It returns nil if there is none.
func (g *gatherer) nextHedge() *timer.Subscription {
	var earliest time.Time
	for _, p := range g.partitions {
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

// hedge sends another sub-request for each partition whose hedging time has come.
func (g *gatherer) hedge(now time.Time) {
	for _, p := range g.partitions {
		if p.done || p.hedgeAt.IsZero() || p.hedgeAt.After(now) {
			continue
		}
		p.hedgeAt = time.Time{}
		g.hedgePartition(p, now)
	}
}

// hedgePartition sends a hedge to a target other than that of the last attempt.
// If it is slow too, the next hedge may use the first target again.
func (g *gatherer) hedgePartition(p *partitionState, now time.Time) {
	if p.attempts >= maxHedgedAttempts {
		return
	}
	last := p.excluded.routes[len(p.excluded.routes)-1]
	excluded := exclusion{targets: append([]magnoliashore.TargetID{last.target}, p.excluded.targets...)}
	r, ok := g.host.routeTo(p.plan.Targets(), excluded, viaOwner)
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

// planHedge sets the time of the partition's next hedge, if it may be hedged.
func (g *gatherer) planHedge(p *partitionState, sent time.Time) {
	if delay, ok := g.host.hedger.Delay(p.plan.Service().Name()); ok && g.mayHedge(p) {
		p.hedgeAt = sent.Add(delay)
	}
}

// observeCancelled records how long a first sub-request had run when another
// attempt finished before it. Without these samples the hedging delay would drift
// down.
func (g *gatherer) observeCancelled(a *attempt) {
	if !a.extra {
		g.host.hedger.Observe(a.partition.plan.Service().Name(), g.host.Timer.Now().Sub(a.sentAt))
	}
}
