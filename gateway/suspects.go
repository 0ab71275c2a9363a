package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/suspect"
)

// maxNews is the most digests about which other hosts are still to be told.
const maxNews = 256

// suspects keeps the requests under which targets have ended, and what other hosts
// are still to be told about them.
type suspects struct {
	size atomic.Int64 // digests in the table; read without the lock, for each request

	mu     sync.Mutex
	table  suspect.Table
	recent suspect.Recent // of this host
	news   []suspect.Digest
	due    chan struct{} // receives a value when there are news; nil if nobody is told
}

// known reports whether there are suspicious requests at all.
func (s *suspects) known() bool { return s.size.Load() > 0 }

// update changes the table with f, which returns whether other hosts are to be told.
func (s *suspects) update(d suspect.Digest, f func(t *suspect.Table) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := f(&s.table)
	s.size.Store(int64(s.table.Len()))
	if !changed {
		return false
	}
	if len(s.news) == maxNews {
		s.news = s.news[1:] // the records are also exchanged from time to time
	}
	s.news = append(s.news, d)
	select {
	case s.due <- struct{}{}:
	default: // nobody is told, or the news are due already
	}
	return true
}

// takeNews returns the records that other hosts are to be told, at most n.
func (s *suspects) takeNews(n int) []suspect.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []suspect.Record
	told := make(map[suspect.Digest]bool)
	for len(s.news) > 0 && len(records) < n {
		d := s.news[0]
		s.news = s.news[1:]
		if r, ok := s.table.Record(d); ok && !told[d] {
			records = append(records, r)
		}
		told[d] = true
	}
	return records
}

// worst returns the records with the most ends, at most n, and drops those that have
// lapsed.
func (s *suspects) worst(now time.Time, n int) []suspect.Record {
	if !s.known() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	s.size.Store(int64(s.table.Len()))
	return s.table.Worst(n)
}

// rule decides on a request before it is admitted.
func (e *Engine) rule(q *query) suspect.Ruling {
	if !e.suspects.known() {
		return suspect.Ruling{}
	}
	d := q.digest(e.Pool.Dialect)
	rank := e.Hosts.Rank(magnoliashore.TargetID(d.String()))
	var ruling suspect.Ruling
	e.suspects.update(d, func(t *suspect.Table) bool {
		ruling = t.Rule(e.Timer.Now(), d, rank)
		return ruling.Trial // other hosts wait for the outcome
	})
	if ruling.Verdict == suspect.Innocent {
		return ruling
	}
	fields := log.Fields{"request": q.request.ID, "digest": d.String(), "ended": ruling.Ends, "rank": rank}
	switch {
	case ruling.Trial:
		e.Log.WithFields(fields).Info("trying a request that has ended targets again")
	case ruling.Verdict == suspect.Refused:
		e.Metrics.suspectsRefused.Inc()
	default:
		e.Log.WithFields(fields).Info("request is suspected to end targets: no hedge, no retry after a broken connection")
	}
	return ruling
}

// endTrialUnlessSent ends a trial that reached no target.
func (e *Engine) endTrialUnlessSent(q *query) {
	if !q.sent.Load() {
		e.endTrials([]suspect.Digest{q.digest(e.Pool.Dialect)})
	}
}

// endTrials ends the trials of requests at which no target ended.
func (e *Engine) endTrials(digests []suspect.Digest) {
	e.suspects.mu.Lock()
	defer e.suspects.mu.Unlock()
	for _, d := range digests {
		e.suspects.table.EndTrial(d)
	}
}

// endsUnder returns how many targets have ended under a request, apart from those
// excluded.
func (e *Engine) endsUnder(q *query, exclude []magnoliashore.TargetID) int {
	if !e.suspects.known() {
		return 0
	}
	d := q.digest(e.Pool.Dialect)
	e.suspects.mu.Lock()
	defer e.suspects.mu.Unlock()
	return e.suspects.table.Ends(d, exclude)
}

// completedRecently reports whether a target completed a request for this host a
// short time ago.
func (s *suspects) completedRecently(now time.Time, d suspect.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.Has(now, d)
}

// suspectRequests records that a target ended while it ran requests. Those that
// targets have completed a short time ago are innocent.
func (e *Engine) suspectRequests(target *catalog.Target, digests []suspect.Digest) {
	now := e.Timer.Now()
	for _, d := range digests {
		if e.suspects.completedRecently(now, d) {
			continue
		}
		e.endings.blame(blame{digest: d, zone: target.Zone(), at: now})
		if e.suspects.update(d, func(t *suspect.Table) bool { return t.Ended(now, d, target.ID(), target.ProcessStart()) }) {
			e.logConviction(d, "this host")
		}
	}
}

// requestCompleted records that a target completed a request, which clears it.
func (e *Engine) requestCompleted(q *query) {
	d, now := q.digest(e.Pool.Dialect), e.Timer.Now()
	e.suspects.mu.Lock()
	e.suspects.recent.Add(now, d)
	e.suspects.mu.Unlock()
	if !e.suspects.known() {
		return
	}
	if e.suspects.update(d, func(t *suspect.Table) bool { return t.Completed(now, d) }) {
		e.Metrics.suspectsCleared.Inc()
		e.Log.WithFields(log.Fields{"request": q.request.ID, "digest": d.String()}).Info("request is cleared: a target has completed it")
	}
}

// mergeSuspects takes over what another host knows.
func (e *Engine) mergeSuspects(records []suspect.Record, from string) {
	now := e.Timer.Now()
	for _, r := range records {
		if e.suspects.update(r.Digest, func(t *suspect.Table) bool { return t.Merge(now, r) }) {
			e.logConviction(r.Digest, from)
		}
	}
}

// logConviction logs that a request is refused from now on, or still.
func (e *Engine) logConviction(d suspect.Digest, from string) {
	e.suspects.mu.Lock()
	r, ok := e.suspects.table.Record(d)
	e.suspects.mu.Unlock()
	if !ok || !r.Convicted() {
		return
	}
	last := r.Ends[len(r.Ends)-1]
	e.Log.WithFields(log.Fields{
		"digest": d.String(), "ended": len(r.Ends), "target": string(last.Target), "from": from,
		"age": e.Timer.Now().Sub(last.At).Round(time.Millisecond).String(),
	}).Warn("refusing a request that ends targets")
}
