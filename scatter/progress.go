// Package scatter decides how a query over many shards is executed: which shards
// are queried directly and which through a host of their availability zone, when
// an extra attempt at a shard is made, and when the answer is given. It does no
// I/O and reads no clock.
package scatter

import (
	"time"
)

// Params holds the parameters of one query.
type Params struct {
	Shards       int
	MinShards    int           // least number of shards in an answer
	MaxAttempts  int           // most attempts per shard, each at another target
	HedgeAfter   time.Duration // time after which an attempt in flight is hedged; zero for no hedges
	PartialAfter time.Duration // time after which a partial answer is given; zero to wait for all shards
	Timeout      time.Duration // time after which the query expires
	AtMostOnce   bool          // whether the query may run at most once
}

// Decision is what to do with a query next.
type Decision int

// The possible decisions.
const (
	Wait    Decision = iota // wait for more partial results
	Answer                  // answer with the partial results received so far
	Fail                    // fail, since MinShards cannot be reached any more
	Expired                 // fail, since the timeout has passed
)

// shard is the state of one shard in a query.
type shard struct {
	attempts    int       // attempts made so far, with those of a lost host that it may have made
	inFlight    int       // attempts without an outcome
	lastAttempt time.Time // start of the last attempt, or when its hedge was postponed
	hasResult   bool      // a partial result was received
	givenUp     bool      // no partial result is expected any more
	mayHaveRun  bool      // an attempt may have run
	delegated   bool      // another host makes the attempts
}

// Progress is the state of one query. Methods identify a shard by its index. It
// is not safe for concurrent use.
type Progress struct {
	params  Params
	started time.Time
	shards  []shard
	results int // shards with a partial result
	givenUp int // shards given up
}

// NewProgress returns the state of a query that starts at now.
func NewProgress(params Params, now time.Time) *Progress {
	return &Progress{params: params, started: now, shards: make([]shard, params.Shards)}
}

// RecordAttempt records an attempt at a shard.
func (p *Progress) RecordAttempt(now time.Time, i int) {
	s := &p.shards[i]
	s.attempts++
	s.inFlight++
	s.lastAttempt = now
}

// RecordDelegation records that another host makes all attempts at a shard.
func (p *Progress) RecordDelegation(now time.Time, i int) {
	p.RecordAttempt(now, i)
	p.shards[i].delegated = true
}

// Undelegate records that the host to which a shard was delegated is lost. That host may
// have made all attempts, and may still make them, at any of so many targets. A further
// attempt is allowed only if it cannot be at one target too many, since the shard has no
// more than may be tried.
func (p *Progress) Undelegate(i, targets int) {
	s := &p.shards[i]
	s.delegated = false
	if targets > p.params.MaxAttempts {
		s.attempts = p.params.MaxAttempts
	}
}

// ReturnDelegation records that the host to which a shard was delegated has made
// no attempt at it.
func (p *Progress) ReturnDelegation(i int) {
	s := &p.shards[i]
	s.delegated = false
	s.attempts--
}

// AddResult records that a partial result of a shard was received, and reports
// whether it is the first.
func (p *Progress) AddResult(i int) bool {
	s := &p.shards[i]
	s.inFlight--
	s.mayHaveRun = true
	if s.hasResult {
		return false
	}
	s.hasResult = true
	if s.givenUp {
		s.givenUp = false
		p.givenUp--
	}
	p.results++
	return true
}

// RecordFailure records that an attempt at a shard yielded no partial result. It
// reports whether the shard may be retried now, at a target that was not tried yet.
func (p *Progress) RecordFailure(i int, mayHaveRun bool) bool {
	s := &p.shards[i]
	s.inFlight--
	s.mayHaveRun = s.mayHaveRun || mayHaveRun
	if s.hasResult || s.delegated {
		return false
	}
	return s.attempts < p.params.MaxAttempts && (!p.params.AtMostOnce || !s.mayHaveRun)
}

// RecordUnsent records that an attempt at a shard was not sent, since its target left
// before. It counts as if it had not been made. RecordUnsent reports whether another
// attempt may be made in its place.
func (p *Progress) RecordUnsent(i int) bool {
	p.shards[i].attempts--
	return p.RecordFailure(i, false)
}

// GiveUp records that no further attempt at a shard will be made. It has no
// effect while an attempt is in flight, which may still yield a partial result.
func (p *Progress) GiveUp(i int) {
	s := &p.shards[i]
	if s.hasResult || s.givenUp || s.inFlight > 0 {
		return
	}
	s.givenUp = true
	p.givenUp++
}

// DueHedges returns the shards that are due for a hedge: their only attempt in
// flight has lasted for Params.HedgeAfter, and a further one is allowed.
func (p *Progress) DueHedges(now time.Time) []int {
	if p.params.HedgeAfter <= 0 || p.params.AtMostOnce {
		return nil
	}
	var due []int
	for i := range p.shards {
		s := &p.shards[i]
		if p.hedgeable(s) && now.Sub(s.lastAttempt) >= p.params.HedgeAfter {
			due = append(due, i)
		}
	}
	return due
}

// hedgeable reports whether a hedge of a shard is allowed, apart from its delay.
func (p *Progress) hedgeable(s *shard) bool {
	return !s.hasResult && !s.givenUp && !s.delegated && s.inFlight == 1 && s.attempts < p.params.MaxAttempts
}

// PostponeHedge records that a due hedge cannot be made now. DueHedges returns
// the shard again only after another Params.HedgeAfter.
func (p *Progress) PostponeHedge(now time.Time, i int) { p.shards[i].lastAttempt = now }

// Decide returns what to do with the query at now.
func (p *Progress) Decide(now time.Time) Decision {
	elapsed := now.Sub(p.started)
	switch {
	case p.results+p.givenUp == p.params.Shards && p.results >= p.params.MinShards:
		return Answer
	case p.params.PartialAfter > 0 && elapsed >= p.params.PartialAfter && p.results >= p.params.MinShards:
		return Answer
	case p.params.Shards-p.givenUp < p.params.MinShards:
		return Fail
	case elapsed >= p.params.Timeout:
		return Expired
	}
	return Wait
}

// NextChange returns when the results of Decide or DueHedges may change next if no
// outcome is recorded before.
func (p *Progress) NextChange(now time.Time) time.Time {
	next := p.started.Add(p.params.Timeout)
	if partial := p.started.Add(p.params.PartialAfter); p.params.PartialAfter > 0 && partial.After(now) && partial.Before(next) {
		next = partial
	}
	if p.params.HedgeAfter <= 0 || p.params.AtMostOnce {
		return next
	}
	for i := range p.shards {
		if due := p.shards[i].lastAttempt.Add(p.params.HedgeAfter); p.hedgeable(&p.shards[i]) && due.Before(next) {
			next = due
		}
	}
	return next
}

// MayHaveRun reports whether any attempt may have run.
func (p *Progress) MayHaveRun() bool {
	for i := range p.shards {
		if p.ShardMayHaveRun(i) {
			return true
		}
	}
	return false
}

// ShardMayHaveRun reports whether an attempt at a shard may have run.
func (p *Progress) ShardMayHaveRun(i int) bool {
	s := &p.shards[i]
	return s.mayHaveRun || s.inFlight > 0
}

// Missing returns the number of shards without a partial result.
func (p *Progress) Missing() int { return p.params.Shards - p.results }

// InFlight returns the number of attempts at a shard that are in flight.
func (p *Progress) InFlight(i int) int { return p.shards[i].inFlight }

// AnyInFlight reports whether any attempt is in flight that this host has made itself.
func (p *Progress) AnyInFlight() bool {
	for i := range p.shards {
		if p.shards[i].inFlight > 0 && !p.shards[i].delegated {
			return true
		}
	}
	return false
}

// HasResult reports whether a partial result of a shard was received.
func (p *Progress) HasResult(i int) bool { return p.shards[i].hasResult }
