package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/suspect"
)

const (
	// Time in which a target whose connections broke must show whether it has ended.
	endCheckTimeout = 300 * time.Millisecond
	// Time for which requests that broke at a target count to its latest end.
	endLifetime = time.Second
	// Most requests that count to one end, far more than a target runs at once.
	maxRequestsPerEnd = 64
)

// endings finds out which targets have ended while they ran requests of this host.
type endings struct {
	mu     sync.Mutex
	broken map[magnoliashore.TargetID]*brokenTarget
	blamed []blame // the latest ones, the oldest first
}

// blame is an end of a target that was counted against a request.
type blame struct {
	digest suspect.Digest
	zone   magnoliashore.ZoneName // of the target
	at     time.Time
}

const (
	// Ends that are kept to be withdrawn, and for how long: until a cut is surely known.
	maxBlamed    = 256
	blamedPeriod = 3 * time.Second
)

// blame records that an end was counted against a request.
func (n *endings) blame(b blame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.blamed) == maxBlamed {
		n.blamed = n.blamed[1:]
	}
	n.blamed = append(n.blamed, b)
}

// withdraw returns the requests against which ends of a zone's targets were counted
// lately, and forgets these ends.
func (n *endings) withdraw(now time.Time, zone magnoliashore.ZoneName) []suspect.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	var digests []suspect.Digest
	n.blamed = slices.DeleteFunc(n.blamed, func(b blame) bool {
		if b.zone == zone && now.Sub(b.at) < blamedPeriod && !slices.Contains(digests, b.digest) {
			digests = append(digests, b.digest)
		}
		return b.zone == zone
	})
	return digests
}

// brokenTarget is a target whose connections broke a short time ago.
type brokenTarget struct {
	digests  []suspect.Digest // of the requests that it ran
	checking bool
	ended    time.Time // when it was found to have ended; zero if it was not
}

// add records that a connection to a target broke while it ran a request. It returns
// whether the target must be checked, and whether it is known to have ended.
func (n *endings) add(now time.Time, id magnoliashore.TargetID, d suspect.Digest) (check, ended bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.broken == nil {
		n.broken = make(map[magnoliashore.TargetID]*brokenTarget)
	}
	b, ok := n.broken[id]
	if ok && now.Sub(b.ended) < endLifetime {
		return false, true
	}
	if !ok || !b.checking {
		n.broken[id] = &brokenTarget{digests: []suspect.Digest{d}, checking: true}
		return true, false
	}
	if len(b.digests) < maxRequestsPerEnd {
		b.digests = append(b.digests, d)
	}
	return false, false
}

// finish records the result of a check and returns the requests that the target ran.
func (n *endings) finish(now time.Time, id magnoliashore.TargetID, ended bool) []suspect.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.broken[id]
	if !ok {
		return nil
	}
	if !ended {
		delete(n.broken, id)
		return b.digests
	}
	b.checking, b.ended = false, now
	return b.digests
}

// retain drops the targets for which known returns false, unless a check runs.
func (n *endings) retain(known func(id magnoliashore.TargetID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, b := range n.broken {
		if !known(id) && !b.checking {
			delete(n.broken, id)
		}
	}
}

// connectionBroke records that the connection to a target broke while it ran a
// request, and finds out whether the target has ended: connections also break for
// other reasons.
func (e *Engine) connectionBroke(q *query, t *catalog.Target) {
	d := q.digest(e.Pool.Dialect)
	check, ended := e.endings.add(e.Timer.Now(), t.ID(), d)
	if ended {
		e.targetEnded(t, []suspect.Digest{d})
	}
	if check {
		go e.checkTarget(t)
	}
}

// checkTarget finds out whether a target has ended.
func (e *Engine) checkTarget(t *catalog.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	ended := e.Pool.HasEnded(ctx, t, e.maxConnections(t))
	digests := e.endings.finish(e.Timer.Now(), t.ID(), ended)
	if ended {
		e.targetEnded(t, digests)
		return
	}
	e.endTrials(digests)
	e.Log.WithFields(log.Fields{"target": string(t.ID()), "requests": len(digests)}).Info("connections to a target broke, but it has not ended")
}

// targetEnded records that a target ended while it ran requests.
func (e *Engine) targetEnded(t *catalog.Target, digests []suspect.Digest) {
	e.Metrics.targetsEnded.Inc()
	names := make([]string, 0, min(len(digests), maxLoggedDigests))
	for _, d := range digests[:min(len(digests), maxLoggedDigests)] {
		names = append(names, d.String())
	}
	e.Log.WithFields(log.Fields{
		"target": string(t.ID()), "service": string(t.Service()), "requests": len(digests), "digests": strings.Join(names, ","),
	}).Info("target ended while it ran requests")
	if e.isCut(t.Zone()) {
		e.endTrials(digests)
		return // a target behind a cut refuses connections as one that has ended
	}
	e.suspectRequests(t, digests)
}

// clearInnocent clears the requests that were blamed for ends of a zone's targets: this
// host was only cut off from them.
func (e *Engine) clearInnocent(zone magnoliashore.ZoneName) {
	now := e.Timer.Now()
	for _, d := range e.endings.withdraw(now, zone) {
		if e.suspects.update(d, func(t *suspect.Table) bool { return t.Completed(now, d) }) {
			e.Metrics.suspectsCleared.Inc()
			e.Log.WithFields(log.Fields{"digest": d.String(), "targetzone": string(zone)}).Info("request is cleared: this host was cut off from the targets that seemed to end")
		}
	}
}

// maxLoggedDigests is the most digests in one log line.
const maxLoggedDigests = 8
