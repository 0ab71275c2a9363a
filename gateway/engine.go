package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/quota"
	"github.com/magnoliashore/magnoliashore/reach"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	// Share of a target's connection limit that all hosts together use.
	connectionShare = 0.9
	// Connections to a target if its service sets no limit.
	defaultMaxConnections = 8
	// Requests that may wait for a connection, per connection.
	maxWaitingPerConnection = 4
)

// Hosts gives access to the other hosts and to data about this one.
type Hosts interface {
	// Helpers returns the hosts of each zone that accept batches, in order of
	// preference.
	Helpers() map[magnoliashore.ZoneName][]scatter.Helper
	// Link returns the link to a host, or false if there is none.
	Link(peer string) (*relay.Link, bool)
	// Capacity returns how many shards of one query this host can query without
	// delay.
	Capacity() int
	// Rank returns the position of this host among the running hosts in an
	// order that differs from target to target.
	Rank(id magnoliashore.TargetID) int
	// HostCount returns the number of hosts that share limits, including this one.
	HostCount() int
	// Fellows returns the hosts that may take whole requests of this one, in order of
	// preference.
	Fellows() []string
	// Confirm records that a host reaches targets that this one does not.
	Confirm(peer string)
	// RecordHelp records whether a host has answered a batch or a request.
	RecordHelp(peer string, ok bool)
	// Sharing describes the hosts that share the rates of targets.
	Sharing() quota.Sharing
}

// Engine runs queries. Set the exported fields before the first query.
type Engine struct {
	Zone    magnoliashore.ZoneName
	View    func() *catalog.View
	Hosts   Hosts
	Pool    *origin.Pool
	Timer   *timer.Service
	Log     log.Interface
	Metrics *Metrics

	mu          sync.Mutex // guards the fields below
	Balancer    *balance.Balancer
	Budget      *retry.Budget
	ColdLimiter *admit.ColdLimiter
	limits      admit.NamedLimits
	quotas      quota.Holder
	reach       reach.Detector
	lastAnswers map[magnoliashore.ZoneName]time.Time // latest answers of targets, by zone
	cutBegan    chan struct{}                        // closed when the next cut is found; nil if nobody waits

	inFlight     inFlight
	stop         *stop // of this host
	endings      endings
	suspects     suspects
	observations observationLimit
	adoptions    adoptions

	reportDue chan struct{} // receives a value when a report to an issuer is due at once
}

// attempt is one send of a request to a target.
type attempt struct {
	target   *catalog.Target
	inFlight balance.InFlight
}

// attemptKind says whether a request may already have reached the service.
type attemptKind int

// The kinds of attempts.
const (
	firstAttempt attemptKind = iota // first attempt at the service
	unsentRetry                     // no earlier attempt was sent
	extraAttempt                    // an earlier attempt may have been sent; counts against the retry budget
)

// pick chooses a target for an attempt and records the attempt as in flight. It
// returns false if there is no target or the retry budget is used up.
func (e *Engine) pick(q *query, service magnoliashore.ServiceName, exclude []magnoliashore.TargetID, kind attemptKind) (attempt, bool) {
	view := e.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	rate := coldRequestRate(view, service)
	t := e.chooseBelowLimit(now, e.acceptingTargets(now, e.reachableTargets(view.Targets(service)), rate), q.kind, exclude)
	if t == nil {
		return attempt{}, false
	}
	e.Budget.Hosts = e.Hosts.HostCount()
	if kind == extraAttempt && !e.Budget.Take(now, service) {
		e.Metrics.overBudget.Inc()
		return attempt{}, false
	}
	if limitedAsCold(now, t, rate) {
		e.ColdLimiter.Take(t.ID())
	}
	e.quotas.Take(t.ID())
	if kind == firstAttempt {
		e.Budget.CountRequest(now, service)
	}
	return attempt{target: t, inFlight: e.Balancer.Start(now, t, q.kind)}, true
}

// coldRequestRate returns the limit for a cold target of a service in requests
// per second, or zero if none is set.
func coldRequestRate(view *catalog.View, service magnoliashore.ServiceName) float64 {
	if view.Config() == nil {
		return 0
	}
	return view.Config().Service(service).ColdRate()
}

// limitedAsCold reports whether the request rate of a target is limited because
// the target is cold.
func limitedAsCold(now time.Time, t *catalog.Target, rate float64) bool {
	return rate > 0 && now.Before(t.ColdUntil())
}

// acceptingTargets returns the targets that may receive one more request. The
// caller holds mu.
func (e *Engine) acceptingTargets(now time.Time, targets []*catalog.Target, rate float64) []*catalog.Target {
	if rate <= 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool {
		sharing := admit.Sharing{Hosts: e.Hosts.HostCount(), Rank: e.Hosts.Rank(t.ID())}
		return limitedAsCold(now, t, rate) && !e.ColdLimiter.Allows(now, t.ID(), rate, sharing)
	})
}

// makeAttempt sends a request to a target and records the outcome.
func (e *Engine) makeAttempt(ctx context.Context, q *query, a attempt) origin.Result {
	limit := e.maxConnections(a.target)
	result := e.Pool.Do(ctx, q.request, origin.Attempt{
		Target: a.target, Timeout: q.deadline.Sub(e.Timer.Now()), MaxConnections: limit, MaxWaiting: limit * maxWaitingPerConnection,
		OnSend: q.recordSend, Withdraw: q.withdrawn,
	})
	e.Metrics.attempts.Inc()
	if result.NewConnection {
		e.Metrics.newConnections.Inc()
	}
	e.recordOutcome(ctx, a, result)
	if result.Tail != nil {
		result.Tail.OnEnd(func(outcome origin.TailOutcome) { e.recordTail(a, result.Took, outcome) })
	}
	e.observeRequest(ctx, q, a.target, result)
	return result
}

// observeRequest records what the outcome of an attempt says about the request.
func (e *Engine) observeRequest(ctx context.Context, q *query, t *catalog.Target, result origin.Result) {
	if result.Sent {
		q.sent.Store(true)
	}
	if errors.Is(result.Err, origin.ErrTooLong) {
		e.Metrics.answersTooLong.Inc()
		e.Log.WithFields(log.Fields{"request": q.request.ID, "target": string(t.ID())}).WithError(result.Err).
			Warn("answer of a target is too long; its connection is closed")
	}
	if errors.Is(result.Err, origin.ErrExhausted) {
		e.Metrics.exhausted.Inc()
		e.Log.WithFields(log.Fields{"request": q.request.ID, "target": string(t.ID())}).WithError(result.Err).Warn("request not sent: this host lacks descriptors")
	}
	if result.Broken() && ctx.Err() == nil {
		e.connectionBroke(q, t)
	}
	// A failure does not show that the target survives the request.
	if result.Status != 0 && result.Status < http.StatusInternalServerError && !result.Reply.NotRun && result.Tail == nil {
		e.requestCompleted(q)
	}
}

func (e *Engine) recordOutcome(ctx context.Context, a attempt, result origin.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	if result.Status != 0 {
		e.recordAnswer(now, a.target.Zone())
	}
	switch {
	case result.Tail != nil:
		e.Balancer.Begin(a.inFlight)
	case result.Status != 0 && result.Status < 500 && !result.Reply.NotRun:
		e.Balancer.Complete(now, a.inFlight, result.Took)
	case result.Status == 0 && ctx.Err() != nil, result.Inconclusive():
		e.Balancer.Abandon(now, a.inFlight, result.Took)
	default:
		e.Balancer.Fail(now, a.inFlight)
	}
	if result.Status != 0 {
		e.observeLimit(now, a.target.ID(), result)
	}
}

// recordTail records that a long answer occupies its target no more, and whether the target
// has sent it to its end. A caller that has left, or reads too slowly, says nothing about it.
func (e *Engine) recordTail(a attempt, began time.Duration, outcome origin.TailOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Balancer.Close(a.inFlight)
	switch now := e.Timer.Now(); {
	case outcome.Complete:
		e.Balancer.End(now, a.inFlight, began, true)
	case outcome.Broken:
		e.Balancer.End(now, a.inFlight, began+outcome.Took, false)
	}
}

// maxConnections returns this host's share of the connections to a target.
func (e *Engine) maxConnections(t *catalog.Target) int {
	config := e.View().Config()
	if config == nil {
		return 1
	}
	limit := config.Service(t.Service()).Connections()
	if limit == 0 {
		return defaultMaxConnections
	}
	return max(1, int(connectionShare*float64(limit)/float64(max(e.Hosts.HostCount(), 1))))
}

// timeUntil returns the time from now to at, at least zero.
func (e *Engine) timeUntil(at time.Time) time.Duration { return max(0, at.Sub(e.Timer.Now())) }

// Retain drops the state of targets that are not in the view.
func (e *Engine) Retain(view *catalog.View) {
	e.Pool.Retain()
	e.endings.retain(view.Has)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Balancer.Retain(view.Has)
	e.ColdLimiter.Retain(view.Has)
	e.limits.Retain(view.Has)
	e.quotas.Retain(view.Has)
}

// setLimits sets the limits on retries and on cold targets.
func (e *Engine) setLimits(retries retry.Limit, cold admit.ColdLimit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Budget.Limit = retries
	e.ColdLimiter.Limit = cold
}
