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
		if t == nil {
			return nil
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

// limitDelay returns when a target of a service may again be below its limit, or
// zero if one is now or the service has none. If all targets are at their limits,
// the request counts as demand for the one that is below it first.
func (e *Engine) limitDelay(service magnoliashore.ServiceName) time.Duration {
	targets := e.View().Targets(service)
	e.mu.Lock()
	defer e.mu.Unlock()
	now, sharing := e.Timer.Now(), e.Hosts.Sharing()
	var shortest time.Duration
	var first magnoliashore.TargetID
	for _, t := range targets {
		delay := e.quotas.Delay(now, t.ID(), sharing)
		if delay == 0 {
			return 0
		}
		if first == "" || delay < shortest {
			shortest, first = delay, t.ID()
		}
	}
	if first != "" {
		e.want(now, first)
		e.Metrics.overLimit.Inc()
	}
	return shortest
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
	e.quotas.Accept(now, g)
	if g.Share > former/loggedShareChange && g.Share < former*loggedShareChange {
		return
	}
	e.Log.WithFields(log.Fields{
		"target": string(g.Target), "share": g.Share, "former": former, "issuer": from, "hosts": sharing.Hosts,
	}).Info("share of a target's limit changed")
}

// loggedShareChange is the factor from which a change of a share is logged.
const loggedShareChange = 1.5
