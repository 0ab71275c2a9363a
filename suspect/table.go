package suspect

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// ConvictingEnds is how many targets must have ended under a request before it is
// refused.
const ConvictingEnds = 3

const (
	// Reports on a target whose process is not known are about the same end within
	// this time.
	sameEnd = 2 * time.Second
	// Differences between the times of one event at several hosts: delays of
	// datagrams. An end within this time after a
	// clearance counts as before it.
	timeSlack = 400 * time.Millisecond
	// Time after the convicting end in which further ends are those of requests
	// that were in flight.
	settleTime = 4 * time.Second
	// Time after the last end until the request is tried again at one target. It
	// grows by trialFactor with each trial that ends a target.
	firstTrial  = 5 * time.Second
	trialFactor = 4
	maxTrial    = 10 * time.Minute
	// Further time for each host that may try before this one: the hosts that are
	// told of a trial wait for its outcome.
	trialStagger = 500 * time.Millisecond
	maxStagger   = 10 * time.Second
	// Time without an outcome after which a trial counts as lost.
	trialTimeout = 10 * time.Second
	// Time after which suspicion lapses.
	suspectLifetime   = time.Minute
	convictedLifetime = 30 * time.Minute
	// Time for which a clearance is remembered, since older reports may follow it.
	clearedLifetime = time.Minute
	// Most digests in a table, and most ends of each.
	maxDigests = 1024
	maxEnds    = 8
)

// End is the end of a target while it ran a request.
type End struct {
	Target  magnoliashore.TargetID
	Process int64 // start of its process, which tells two lives of one ID apart; zero if not known
	At      time.Time
}

// same reports whether two reports are about the same end.
func (e End) same(other End) bool {
	if e.Target != other.Target {
		return false
	}
	if e.Process != 0 && other.Process != 0 {
		return e.Process == other.Process
	}
	return e.At.Sub(other.At).Abs() < sameEnd
}

// Record is what is known of one digest.
type Record struct {
	Digest  Digest
	Ends    []End     // the earliest first
	Cleared time.Time // when a target last completed the request; zero if it is not known that one has
	Tried   time.Time // when a host last began to try the request again; zero for never
}

// Verdict says how to treat a request.
type Verdict int

// The verdicts.
const (
	Innocent Verdict = iota
	Suspect          // targets ended under it: no hedge, and no retry after a connection broke
	Refused          // has ended so many targets that it is not sent to another one
)

// Ruling is a verdict with its grounds.
type Ruling struct {
	Verdict Verdict
	Ends    int           // targets that have ended under the request
	After   time.Duration // of a refused request: when it may be tried again
	Trial   bool          // this request is the trial
}

// entry is a record in a table.
type entry struct{ Record }

// Table holds what is known of suspicious requests. It is not safe for concurrent
// use.
type Table struct {
	entries map[Digest]*entry
}

// Len returns the number of digests.
func (t *Table) Len() int { return len(t.entries) }

// Ended records that a target ended while it ran a request, and reports whether
// that was not known.
func (t *Table) Ended(now time.Time, d Digest, target magnoliashore.TargetID, process int64) bool {
	return t.Merge(now, Record{Digest: d, Ends: []End{{Target: target, Process: process, At: now}}})
}

// Completed records that a target completed a request, which clears it. It reports
// whether the request was suspicious.
func (t *Table) Completed(now time.Time, d Digest) bool {
	e, ok := t.entries[d]
	if !ok || len(e.Ends) == 0 {
		return false
	}
	return t.Merge(now, Record{Digest: d, Cleared: now})
}

// Merge adds what another host knows of a digest, and reports whether any of it was
// not known.
func (t *Table) Merge(now time.Time, r Record) bool {
	e, ok := t.entries[r.Digest]
	if !ok {
		e = t.add(now, r.Digest)
	}
	before, changed := slices.Clone(e.Ends), false
	if r.Cleared.After(e.Cleared.Add(timeSlack)) {
		e.Cleared, changed = r.Cleared, true
	}
	if r.Tried.After(e.Tried.Add(timeSlack)) {
		e.Tried, changed = r.Tried, true
	}
	for _, end := range r.Ends {
		if e.knows(end) {
			continue
		}
		e.Ends = append(e.Ends, end)
	}
	e.Ends = slices.DeleteFunc(e.Ends, e.cleared)
	slices.SortFunc(e.Ends, func(a, b End) int { return a.At.Compare(b.At) })
	if len(e.Ends) > maxEnds {
		// The convicting ends and the latest ones decide.
		e.Ends = slices.Delete(e.Ends, ConvictingEnds, len(e.Ends)-maxEnds+ConvictingEnds)
	}
	if !slices.Equal(before, e.Ends) {
		changed = true
	}
	return changed
}

// knows reports whether an end is known, or from before the request was cleared.
func (e *entry) knows(end End) bool { return e.cleared(end) || slices.ContainsFunc(e.Ends, end.same) }

// cleared reports whether an end counts as before the request was cleared.
func (e *entry) cleared(end End) bool { return !end.At.After(e.Cleared.Add(timeSlack)) }

// add adds a digest. In a full table, it replaces the one whose last end is the
// longest ago, of those that are not refused if there are any.
func (t *Table) add(now time.Time, d Digest) *entry {
	if t.entries == nil {
		t.entries = make(map[Digest]*entry)
	}
	if len(t.entries) >= maxDigests {
		t.Expire(now)
	}
	if len(t.entries) >= maxDigests {
		var oldest *entry
		for _, e := range t.entries {
			if oldest == nil || e.replacedBefore(oldest) {
				oldest = e
			}
		}
		delete(t.entries, oldest.Digest)
	}
	e := &entry{Record: Record{Digest: d}}
	t.entries[d] = e
	return e
}

// replacedBefore reports whether e is given up before other in a full table.
func (e *entry) replacedBefore(other *entry) bool {
	if e.Convicted() != other.Convicted() {
		return other.Convicted()
	}
	return e.latest().Before(other.latest())
}

// Convicted reports whether so many targets have ended under the request that it is
// refused.
func (r Record) Convicted() bool { return len(r.Ends) >= ConvictingEnds }

// latest returns the time of the latest end or clearance.
func (e *entry) latest() time.Time {
	if len(e.Ends) == 0 || e.Cleared.After(e.Ends[len(e.Ends)-1].At) {
		return e.Cleared
	}
	return e.Ends[len(e.Ends)-1].At
}

// Rule decides on a request that this host is about to send. rank is the position
// of this host among those that may try a refused request again.
func (t *Table) Rule(now time.Time, d Digest, rank int) Ruling {
	e, ok := t.entries[d]
	if !ok || len(e.Ends) == 0 {
		return Ruling{}
	}
	ruling := Ruling{Verdict: Suspect, Ends: len(e.Ends)}
	if !e.Convicted() {
		return ruling
	}
	ruling.Trial = true
	wait := e.trialAt(rank).Sub(now)
	if e.Tried.After(e.latest()) { // a host waits for the outcome
		wait = max(wait, e.Tried.Add(trialTimeout).Sub(now))
	}
	if wait > 0 {
		return Ruling{Verdict: Refused, Ends: len(e.Ends), After: wait}
	}
	e.Tried = now
	return ruling
}

// EndTrial records that a trial had no outcome: no target ended or completed the
// request.
func (t *Table) EndTrial(d Digest) {
	if e, ok := t.entries[d]; ok {
		e.Tried = time.Time{}
	}
}

// trialAt returns when a host may try a refused request again.
func (e *entry) trialAt(rank int) time.Time {
	wait := firstTrial
	settled := e.Ends[ConvictingEnds-1].At.Add(settleTime)
	for _, end := range e.Ends[ConvictingEnds:] {
		if end.At.After(settled) {
			wait = min(wait*trialFactor, maxTrial)
		}
	}
	return e.Ends[len(e.Ends)-1].At.Add(wait + min(time.Duration(rank)*trialStagger, maxStagger))
}

// Ends returns how many targets have ended under a request, apart from those
// excluded.
func (t *Table) Ends(d Digest, exclude []magnoliashore.TargetID) int {
	e, ok := t.entries[d]
	if !ok {
		return 0
	}
	n := 0
	for _, end := range e.Ends {
		if !slices.Contains(exclude, end.Target) {
			n++
		}
	}
	return n
}

// Record returns what is known of a digest.
func (t *Table) Record(d Digest) (Record, bool) {
	e, ok := t.entries[d]
	if !ok {
		return Record{}, false
	}
	r := e.Record
	r.Ends = slices.Clone(r.Ends)
	return r, true
}

// Worst returns the records with the most ends, at most n.
func (t *Table) Worst(n int) []Record {
	records := make([]Record, 0, len(t.entries))
	for d, e := range t.entries {
		if len(e.Ends) > 0 {
			r, _ := t.Record(d)
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return len(b.Ends) - len(a.Ends) })
	return records[:min(len(records), n)]
}

// Expire removes what has lapsed.
func (t *Table) Expire(now time.Time) {
	for d, e := range t.entries {
		lifetime := suspectLifetime
		switch {
		case e.Convicted():
			lifetime = convictedLifetime
		case len(e.Ends) == 0:
			lifetime = clearedLifetime
		}
		if now.Sub(e.latest()) > lifetime {
			delete(t.entries, d)
		}
	}
}
