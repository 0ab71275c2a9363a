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

// Times of the root of a query.
const (
	startingWait  = 500 * time.Millisecond // when to come back to a host that has no configuration yet
	crowdedWait   = 20 * time.Millisecond  // when to come back to a host with too many queries
	answerReserve = 2 * time.Millisecond   // kept of the deadline to write the answer
	reserveShare  = 32                     // and one part in this of the time left
)

// answerDue returns when the root has to write the answer to a query.
func answerDue(now, deadline time.Time) time.Time {
	return deadline.Add(-answerReserve - deadline.Sub(now)/reserveShare)
}

// Query runs the query and returns its final answer. It never panics.
func (h *Host) Query(ctx context.Context, query magnoliashore.Query) (answer magnoliashore.Answer) {
	started := h.Timer.Now()
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	query = h.complete(query, started)
	defer func() {
		if fault := recover(); fault != nil {
			h.fault("running a query", fault)
			answer = h.unknown(query, magnoliashore.ReasonFault, "the query failed inside the entry host")
		}
		h.meters.answered(answer, h.Timer.Now().Sub(started))
	}()
	if query.Once() {
		return h.once(ctx, query)
	}
	return h.run(ctx, query)
}

// complete fills in the name and the deadline that the caller left out.
func (h *Host) complete(query magnoliashore.Query, now time.Time) magnoliashore.Query {
	if query.ID() == "" {
		name := fmt.Sprintf("%s-%d-%d", h.Settings.Host, h.incarnation, h.names.Add(1))
		query = query.WithID(magnoliashore.QueryID(name))
	}
	if query.Deadline().IsZero() {
		query = query.WithDeadline(now.Add(plan.Deadline(h.view(), query.Group(), query.Services())))
	}
	return query
}

// run plans the query and gathers its answer. A query whose snapshot is
// retired on the way starts again on the newer one.
func (h *Host) run(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	if !h.Ready() {
		return h.refuse(query, magnoliashore.ReasonStarting, "no configuration is in force yet", startingWait)
	}
	if h.inFlight.Load() > int64(h.Settings.Limits.Queries) {
		return h.refuse(query, magnoliashore.ReasonBusy, "too many queries are in flight", crowdedWait)
	}
	if after, ok := h.throttles.admit(query.Group()); !ok {
		return h.refuse(query, magnoliashore.ReasonBusy, "the group's targets have too much work", after)
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
		if g.retired && h.canRestart(query, p) {
			h.emit(magnoliashore.EventSpec{Code: event.QueryRestarted, Query: query.ID()})
			continue
		}
		answer := g.answer(subs)
		h.throttles.done(query.Group(), g.overloaded())
		return answer
	}
}

// canRestart reports whether the query may start again on a newer snapshot.
func (h *Host) canRestart(query magnoliashore.Query, p plan.Plan) bool {
	if query.Once() || !h.Timer.Now().Add(answerReserve).Before(query.Deadline()) {
		return false
	}
	newest, ok := h.view().Layout().Newest(p.Group())
	return ok && newest.ID() > p.Snapshot()
}

// earn counts first sub-requests towards the budget of extra ones. A hedger
// that learns does so itself, on the same budget.
func (h *Host) earn(n int) {
	h.hedger.Sent(n)
	if h.Settings.Policy.Hedge == settings.HedgeOff {
		h.budget.Earn(n)
	}
}

// fault records a panic that was recovered from.
func (h *Host) fault(step string, fault any) {
	h.meters.faults.Inc()
	h.emit(magnoliashore.EventSpec{Code: event.Fault, Detail: fmt.Sprintf("%s: %v", step, fault)})
}
