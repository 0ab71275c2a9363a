package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/plan"
	"github.com/magnoliashore/magnoliashore/settings"
)

// Times that the coordinator of a query uses.
const (
	startingRetryAfter = 500 * time.Millisecond // retry-after of a host that has no configuration yet
	busyRetryAfter     = 20 * time.Millisecond  // retry-after of a host with too many queries in flight
	answerReserve      = 2 * time.Millisecond   // time reserved before the deadline to write the answer
	reserveDivisor     = 32                     // the remaining time divided by this is reserved in addition
)

// answerDue returns when the coordinator must write the answer to a query.
func answerDue(now, deadline time.Time) time.Time {
	return deadline.Add(-answerReserve - deadline.Sub(now)/reserveDivisor)
}

// Query runs the query and returns its final answer. A panic while it runs is
// recorded and answered as unknown.
func (h *Host) Query(ctx context.Context, query magnoliashore.Query) (answer magnoliashore.Answer) {
	started := h.Timer.Now()
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	query = h.withDefaults(query, started)
	defer func() {
		if fault := recover(); fault != nil {
			h.recordPanic("running a query", fault)
			answer = h.unknownAnswer(query, magnoliashore.ReasonFault, "the query failed inside the entry host")
		}
		h.meters.answered(answer, h.Timer.Now().Sub(started))
	}()
	if query.Once() {
		return h.queryAtMostOnce(ctx, query)
	}
	return h.run(ctx, query)
}

// withDefaults sets the ID and the deadline if the caller did not.
func (h *Host) withDefaults(query magnoliashore.Query, now time.Time) magnoliashore.Query {
	if query.ID() == "" {
		id := fmt.Sprintf("%s-%d-%d", h.Settings.Host, h.incarnation, h.lastQueryID.Add(1))
		query = query.WithID(magnoliashore.QueryID(id))
	}
	if query.Deadline().IsZero() {
		query = query.WithDeadline(now.Add(plan.Deadline(h.view(), query.Group(), query.Services())))
	}
	return query
}

// run plans the query and gathers its answer. If its snapshot is retired while it
// runs, the query restarts on the newest one.
func (h *Host) run(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	if !h.Ready() {
		return h.refuse(query, magnoliashore.ReasonStarting, "no configuration is in force yet", startingRetryAfter)
	}
	if h.inFlight.Load() > int64(h.Settings.Limits.Queries) {
		return h.refuse(query, magnoliashore.ReasonBusy, "too many queries are in flight", busyRetryAfter)
	}
	if retryAfter, ok := h.throttles.admit(query.Group()); !ok {
		return h.refuse(query, magnoliashore.ReasonBusy, "the group's targets have too much work", retryAfter)
	}
	subs := 0
	for {
		view := h.view()
		p, fault := plan.Make(view, query)
		if fault != nil {
			return h.refuse(query, fault.Reason(), fault.Detail(), 0)
		}
		if !h.Timer.Now().Add(answerReserve).Before(query.Deadline()) {
			return h.refuse(query, magnoliashore.ReasonDeadline, "the deadline has passed", 0)
		}
		g := newGatherer(h, query, p, view)
		g.run(ctx)
		subs += g.sent
		if g.snapshotRetired && h.canRestart(query, p) {
			h.emit(magnoliashore.EventSpec{Code: event.QueryRestarted, Query: query.ID()})
			continue
		}
		answer := g.answer(subs)
		h.throttles.done(query.Group(), g.overloaded())
		return answer
	}
}

// canRestart reports whether the query may restart on a newer snapshot.
func (h *Host) canRestart(query magnoliashore.Query, p plan.Plan) bool {
	if query.Once() || !h.Timer.Now().Add(answerReserve).Before(query.Deadline()) {
		return false
	}
	newest, ok := h.view().Layout().Newest(p.Group())
	return ok && newest.ID() > p.Snapshot()
}

// countFirstAttempts adds n first sub-requests to the budget of extra ones. An
// adaptive hedger adds them to the same budget itself.
func (h *Host) countFirstAttempts(n int) {
	h.hedger.Sent(n)
	if h.Settings.Policy.Hedge == settings.HedgeOff {
		h.budget.Earn(n)
	}
}

// recordPanic counts a recovered panic and emits an event.
func (h *Host) recordPanic(step string, fault any) {
	h.meters.faults.Inc()
	h.emit(magnoliashore.EventSpec{Code: event.Fault, Detail: fmt.Sprintf("%s: %v", step, fault)})
}
