package gateway

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/quota"
)

// chooseBelowLimit chooses a target that is below the limit that it names. Requests
// over a limit go to other targets. The caller holds mu.
func (e *Engine) chooseBelowLimit(now time.Time, targets []*catalog.Target, kind string, exclude []magnoliashore.TargetID) *catalog.Target {
	for {
		t := e.Balancer.Choose(now, targets, kind, exclude)
		if t == nil || !e.quotas.Limited(t.ID()) {
			return t
		}
		e.want(now, t.ID())
		if e.quotas.Allows(now, t.ID(), e.Hosts.Sharing()) {
			return t
		}
		e.Metrics.overLimit.Inc()
		targets = slices.DeleteFunc(slices.Clone(targets), func(x *catalog.Target) bool { return x == t })
	}
}

// want records the demand for a target and asks for a lease if there is none. The
// caller holds mu.
func (e *Engine) want(now time.Time, id magnoliashore.TargetID) {
	if !e.quotas.Want(now, id) {
		return
	}
	select {
	case e.reportDue <- struct{}{}:
	default: // a report is due already
	}
}

// limitDelay returns when a query may again be below the limits of its targets, or
// zero if it is now: when targets of enough services are. Services whose targets
// are all at their limits count as demand for the one that is below it first.
func (e *Engine) limitDelay(q *query) time.Duration {
	view := e.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.quotas.Empty() { // fast path: called for each query
		return 0
	}
	now, sharing := e.Timer.Now(), e.Hosts.Sharing()
	var delays []time.Duration
	for _, service := range q.services {
		if delay, first := e.serviceDelay(now, view.Targets(service), sharing); delay > 0 {
			delays = append(delays, delay)
			e.want(now, first)
		}
	}
	missing := q.params.MinShards - (len(q.services) - len(delays))
	if missing <= 0 {
		return 0
	}
	e.Metrics.overLimit.Add(len(delays))
	slices.Sort(delays)
	return delays[missing-1]
}

// serviceDelay returns which of a service's targets is below its limit first, and
// when; zero if one is now or there is none. The caller holds mu.
func (e *Engine) serviceDelay(now time.Time, targets []*catalog.Target, sharing quota.Sharing) (time.Duration, magnoliashore.TargetID) {
	var (
		shortest time.Duration
		first    magnoliashore.TargetID
	)
	for _, t := range targets {
		delay := e.quotas.Delay(now, t.ID(), sharing)
		if delay == 0 {
			return 0, ""
		}
		if first == "" || delay < shortest {
			shortest, first = delay, t.ID()
		}
	}
	return shortest, first
}

// allLimited reports whether all targets of a service name limits. The caller holds
// mu.
func (e *Engine) allLimited(targets []*catalog.Target) bool {
	return !slices.ContainsFunc(targets, func(t *catalog.Target) bool { return !e.quotas.Limited(t.ID()) })
}

// observeLimit records the limit that a target names in an answer, or that it
// names none. The caller holds mu.
func (e *Engine) observeLimit(now time.Time, id magnoliashore.TargetID, result origin.Result) {
	former, _ := e.limits.Limit(id)
	change := e.limits.Observe(now, now.Add(-result.Took), id, result.Reply.Limit, result.Reply.Limited)
	switch change {
	case admit.LimitUnchanged:
		return
	case admit.LimitBegan, admit.LimitMoved:
		e.quotas.SetRate(now, id, result.Reply.Limit)
	case admit.LimitEnded:
		e.quotas.ClearRate(id)
	}
	e.Metrics.limitChanges.Inc()
	fields := log.Fields{"target": string(id), "limit": result.Reply.Limit, "sent": result.Took.Round(time.Millisecond).String()}
	if change != admit.LimitBegan {
		fields["former"], fields["lasted"] = former.Rate(), now.Sub(former.Since()).Round(time.Millisecond).String()
	}
	e.Log.WithFields(fields).Info(change.String())
}

// quotaReports returns the reports that are due to the issuers of targets.
func (e *Engine) quotaReports() []quota.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.quotas.Reports(e.Timer.Now(), e.Hosts.Sharing())
}

// acceptGrant takes over a lease and logs a change of the share.
func (e *Engine) acceptGrant(g quota.Grant, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, sharing := e.Timer.Now(), e.Hosts.Sharing()
	former, ok := e.quotas.Share(now, g.Target, sharing)
	if !ok {
		return // the limit has ended since the report
	}
	e.quotas.Accept(now, g, sharing)
	if g.Share > former/loggedShareChange && g.Share < former*loggedShareChange {
		return
	}
	e.Log.WithFields(log.Fields{
		"target": string(g.Target), "share": g.Share, "former": former, "issuer": from, "hosts": sharing.Hosts,
	}).Info("share of a target's limit changed")
}

// loggedShareChange is the factor from which a change of a share is logged.
const loggedShareChange = 1.5
