// Package scatter decides the course of a query over many shards: which
// shards are asked directly and which through a host of their availability
// zone, when a shard is asked again, and when the answer is given. It is pure.
package scatter

import (
	"time"
)

// Params are what a query is held to.
type Params struct {
	Shards       int
	MinShards    int           // shards that an answer needs at least
	Attempts     int           // targets, of each shard, that it may be sent to
	Hedge        time.Duration // after which a shard without an answer is asked again; zero for never
	PartialAfter time.Duration // after which the answer is given with what is in; zero for complete only
	Timeout      time.Duration // after which it is given up
	AtMostOnce   bool          // it may run at most once
}

// Decision is what to do with a query.
type Decision int

// The verdicts.
const (
	Wait    Decision = iota // for more parts
	Answer                  // with the parts that are in
	Fail                    // the needed parts cannot come in any more
	Expired                 // the time is over
)

// shard is the course of one shard.
type shard struct {
	sends  int // attempts made so far
	open   int // attempts without an outcome
	sent   time.Time
	in     bool // its part is in
	lost   bool // it can give no part any more
	ran    bool // an attempt may have run
	remote bool // another host asks it
}

// Progress is the course of one query. It is not safe for concurrent use.
type Progress struct {
	terms  Params
	began  time.Time
	shards []shard
	in     int
	lost   int
}

// NewProgress returns the course of a query that begins at now.
func NewProgress(terms Params, now time.Time) *Progress {
	return &Progress{terms: terms, began: now, shards: make([]shard, terms.Shards)}
}

// Sent notes that a shard is asked once more.
func (r *Progress) Sent(now time.Time, i int) {
	s := &r.shards[i]
	s.sends++
	s.open++
	s.sent = now
}

// Delegated notes that another host asks a shard, with all its attempts.
func (r *Progress) Delegated(now time.Time, i int) {
	r.Sent(now, i)
	r.shards[i].remote = true
}

// Recall notes that the host that asks a shard is lost. It may have run the
// request, and may have asked again if it had the time.
func (r *Progress) Recall(now time.Time, i int) {
	s := &r.shards[i]
	s.remote = false
	if r.terms.Hedge > 0 && now.Sub(s.sent) >= r.terms.Hedge {
		s.sends++
	}
}

// AddResult notes that the part of a shard is in. It reports whether it is the first.
func (r *Progress) AddResult(i int) bool {
	s := &r.shards[i]
	s.open--
	s.ran = true
	if s.in {
		return false
	}
	s.in = true
	if s.lost {
		s.lost = false
		r.lost--
	}
	r.in++
	return true
}

// Missed notes that an attempt at a shard gave no part. It reports whether
// the shard may be asked again: now, and of a target that was not asked yet.
func (r *Progress) Missed(i int, ran bool) bool {
	s := &r.shards[i]
	s.open--
	s.ran = s.ran || ran
	if s.in || s.remote {
		return false
	}
	return s.sends < r.terms.Attempts && (!r.terms.AtMostOnce || !s.ran)
}

// GiveUp notes that a shard will not be asked again. Attempts that are still
// open may yet bring its part.
func (r *Progress) GiveUp(i int) {
	s := &r.shards[i]
	if s.in || s.lost || s.open > 0 {
		return
	}
	s.lost = true
	r.lost++
}

// Late returns the shards whose first attempt has been open for too long and
// that may be asked again.
func (r *Progress) Late(now time.Time) []int {
	if r.terms.Hedge <= 0 || r.terms.AtMostOnce {
		return nil
	}
	var late []int
	for i := range r.shards {
		s := &r.shards[i]
		if r.hedgeable(s) && now.Sub(s.sent) >= r.terms.Hedge {
			late = append(late, i)
		}
	}
	return late
}

func (r *Progress) hedgeable(s *shard) bool {
	return !s.in && !s.lost && !s.remote && s.open == 1 && s.sends < r.terms.Attempts
}

// PostponeHedge notes that a late shard cannot be asked again now, so that it is not
// reported as late for another while.
func (r *Progress) PostponeHedge(now time.Time, i int) { r.shards[i].sent = now }

// Decide returns what to do at now.
func (r *Progress) Decide(now time.Time) Decision {
	passed := now.Sub(r.began)
	switch {
	case r.in+r.lost == r.terms.Shards && r.in >= r.terms.MinShards:
		return Answer
	case r.terms.PartialAfter > 0 && passed >= r.terms.PartialAfter && r.in >= r.terms.MinShards:
		return Answer
	case r.terms.Shards-r.lost < r.terms.MinShards:
		return Fail
	case passed >= r.terms.Timeout:
		return Expired
	}
	return Wait
}

// Wake returns when the verdict or the late shards change next if nothing
// comes in.
func (r *Progress) Wake(now time.Time) time.Time {
	next := r.began.Add(r.terms.Timeout)
	if settle := r.began.Add(r.terms.PartialAfter); r.terms.PartialAfter > 0 && settle.After(now) && settle.Before(next) {
		next = settle
	}
	if r.terms.Hedge <= 0 || r.terms.AtMostOnce {
		return next
	}
	for i := range r.shards {
		if due := r.shards[i].sent.Add(r.terms.Hedge); r.hedgeable(&r.shards[i]) && due.Before(next) {
			next = due
		}
	}
	return next
}

// Ran reports whether any attempt may have run.
func (r *Progress) Ran() bool {
	for i := range r.shards {
		if r.shards[i].ran || r.shards[i].open > 0 {
			return true
		}
	}
	return false
}

// Missing returns how many shards have no part in.
func (r *Progress) Missing() int { return r.terms.Shards - r.in }

// Open returns how many attempts at a shard have no outcome yet.
func (r *Progress) Open(i int) int { return r.shards[i].open }

// HasResult reports whether the part of a shard is in.
func (r *Progress) HasResult(i int) bool { return r.shards[i].in }
