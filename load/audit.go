package load

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Times of the judgement when an availability zone is at full service again.
const (
	backWindow = time.Second           // over which the rate is taken
	backStep   = 50 * time.Millisecond // between two windows
	backBefore = 2 * time.Second       // before zone-out, for the earlier rate
	backShare  = 0.9                   // of the earlier rate
	noTime     = time.Duration(-1)     // what was to be measured did not happen
)

// audit is what the targets' ledgers say of one policy.
type audit struct {
	requests    int // that began, in the counted time
	undone      int // of these, requests that did not run to their end
	overruns    int // requests that made a cold target fall over
	toldOver    int // of these, sent after the target had said that it was cold
	secondRuns  int // second runs of a non-idempotent query on a partition
	falseNotrun int // queries called notrun of which a request began
	zones       []zoneAudit
}

// zoneAudit is what happened around one availability zone; noTime where it
// did not happen.
type zoneAudit struct {
	zone string
	last time.Duration // from zone-out to the last new work
	back time.Duration // from zone-in to full service
}

// happened is a fault with the time at which it was done.
type happened struct {
	fault fault
	at    time.Time
}

// auditor compares ledgers with what callers were told.
type auditor struct {
	records []record
	told    map[magnoliashore.QueryID]magnoliashore.Outcome
	faults  []happened
	zones   map[string]string // of the targets
	begin   time.Time         // of the counted time
	end     time.Time
}

func (a *auditor) audit() audit {
	var found audit
	a.count(&found)
	found.secondRuns = a.secondRuns()
	found.falseNotrun = a.falseNotrun()
	for _, h := range a.faults {
		if h.fault.do == actionZoneOut {
			found.zones = append(found.zones, a.zone(h))
		}
	}
	return found
}

func (a *auditor) count(found *audit) {
	for _, r := range a.records {
		if r.begun && !r.start.Before(a.begin) && r.start.Before(a.end) {
			found.requests++
			if r.result != standin.ResultDone {
				found.undone++
			}
		}
		if r.result != standin.ResultOverrun {
			continue
		}
		found.overruns++
		if r.told {
			found.toldOver++
		}
	}
}

func (a *auditor) secondRuns() int {
	type run struct {
		query     magnoliashore.QueryID
		partition magnoliashore.PartitionID
	}
	seen := make(map[run]bool)
	second := 0
	for _, r := range a.records {
		if !r.once || !r.begun {
			continue
		}
		key := run{r.query, r.partition}
		if seen[key] {
			second++
		}
		seen[key] = true
	}
	return second
}

func (a *auditor) falseNotrun() int {
	wrong := make(map[magnoliashore.QueryID]bool)
	for _, r := range a.records {
		outcome, ok := a.told[r.query]
		if ok && r.begun && outcome == magnoliashore.OutcomeNotRun {
			wrong[r.query] = true
		}
	}
	return len(wrong)
}

// zone judges the zone that out took out.
func (a *auditor) zone(out happened) zoneAudit {
	found := zoneAudit{zone: out.fault.on, last: noTime, back: noTime}
	in, ok := a.backIn(out)
	starts := a.starts(out.fault.on)
	for _, at := range starts {
		if !at.Before(out.at) && at.Before(in) {
			found.last = at.Sub(out.at)
		}
	}
	if ok {
		found.back = a.back(starts, out.at, in)
	}
	return found
}

// backIn returns when the zone came back, or the end of the run.
func (a *auditor) backIn(out happened) (time.Time, bool) {
	for _, h := range a.faults {
		if h.fault.do == actionZoneIn && h.fault.on == out.fault.on && h.at.After(out.at) {
			return h.at, true
		}
	}
	return a.end, false
}

// starts returns when requests began in a zone, in order.
func (a *auditor) starts(zone string) []time.Time {
	var list []time.Time
	for _, r := range a.records {
		if r.begun && a.zones[r.target] == zone {
			list = append(list, r.start)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// back returns how long after in the zone takes its earlier rate again.
func (a *auditor) back(starts []time.Time, out, in time.Time) time.Duration {
	from := out.Add(-backBefore)
	if from.Before(a.begin) {
		from = a.begin
	}
	earlier := float64(between(starts, from, out)) / out.Sub(from).Seconds()
	needed := backShare * earlier * backWindow.Seconds()
	for at := in; !at.Add(backWindow).After(a.end); at = at.Add(backStep) {
		if float64(between(starts, at, at.Add(backWindow))) >= needed {
			return at.Sub(in)
		}
	}
	return noTime
}

// between returns how many of the ordered times are in a half-open interval.
func between(times []time.Time, from, to time.Time) int {
	index := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
		return i
	}
	return index(to) - index(from)
}
