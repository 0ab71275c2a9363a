package load

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// An availability zone counts as recovered once its request rate reaches
// recoveryShare of the rate before zone-out.
const (
	recoveryWindow = time.Second           // interval over which the rate is measured
	recoveryStep   = 50 * time.Millisecond // between the starts of two windows
	baselineLength = 2 * time.Second       // interval before zone-out that gives the baseline rate
	recoveryShare  = 0.9                   // share of the baseline rate
	notMeasured    = time.Duration(-1)     // the event to measure did not happen
)

// audit holds the checks of one policy against the targets' ledgers.
type audit struct {
	requests             int // requests that started in the measured interval
	unfinished           int // of these, requests that did not run to completion
	overruns             int // requests that exceeded a target's cold limit and made it fail
	coldReportedOverruns int // of these, requests that started after the target had shown that it was cold
	repeatedRuns         int // runs of a non-idempotent query on a partition, after its first run there
	falseNotRun          int // queries reported as notrun although one of their requests started
	zones                []zoneAudit
}

// zoneAudit holds how fast an availability zone was drained and recovered.
// A duration is notMeasured if the event did not happen.
type zoneAudit struct {
	zone      string
	lastStart time.Duration // from zone-out to the last request that started
	recovery  time.Duration // from zone-in until the request rate has recovered
}

// injectedFault is a fault with the time of its injection.
type injectedFault struct {
	fault fault
	at    time.Time
}

// auditor compares the targets' ledgers with the answers that callers received.
type auditor struct {
	records  []record
	outcomes map[magnoliashore.QueryID]magnoliashore.Outcome
	faults   []injectedFault
	zones    map[string]string // zone of each target
	begin    time.Time         // start of the measured interval
	end      time.Time         // end of the measured interval
}

func (a *auditor) audit() audit {
	var result audit
	a.countRequests(&result)
	result.repeatedRuns = a.countRepeatedRuns()
	result.falseNotRun = a.countFalseNotRun()
	for _, h := range a.faults {
		if h.fault.action == actionZoneOut {
			result.zones = append(result.zones, a.auditZone(h))
		}
	}
	return result
}

func (a *auditor) countRequests(result *audit) {
	for _, r := range a.records {
		if r.started && !r.start.Before(a.begin) && r.start.Before(a.end) {
			result.requests++
			if r.result != standin.ResultDone {
				result.unfinished++
			}
		}
		if r.result != standin.ResultOverrun {
			continue
		}
		result.overruns++
		if r.coldReported {
			result.coldReportedOverruns++
		}
	}
}

func (a *auditor) countRepeatedRuns() int {
	type run struct {
		query     magnoliashore.QueryID
		partition magnoliashore.PartitionID
	}
	seen := make(map[run]bool)
	repeated := 0
	for _, r := range a.records {
		if !r.atMostOnce || !r.started {
			continue
		}
		key := run{r.query, r.partition}
		if seen[key] {
			repeated++
		}
		seen[key] = true
	}
	return repeated
}

func (a *auditor) countFalseNotRun() int {
	queries := make(map[magnoliashore.QueryID]bool)
	for _, r := range a.records {
		outcome, ok := a.outcomes[r.query]
		if ok && r.started && outcome == magnoliashore.OutcomeNotRun {
			queries[r.query] = true
		}
	}
	return len(queries)
}

// auditZone measures the zone that a zone-out fault took out of service.
func (a *auditor) auditZone(zoneOut injectedFault) zoneAudit {
	result := zoneAudit{zone: zoneOut.fault.argument, lastStart: notMeasured, recovery: notMeasured}
	zoneIn, ok := a.nextZoneIn(zoneOut)
	starts := a.startTimes(zoneOut.fault.argument)
	for _, at := range starts {
		if !at.Before(zoneOut.at) && at.Before(zoneIn) {
			result.lastStart = at.Sub(zoneOut.at)
		}
	}
	if ok {
		result.recovery = a.recoveryTime(starts, zoneOut.at, zoneIn)
	}
	return result
}

// nextZoneIn returns the time of the first zone-in of the same zone after
// zoneOut, or the end of the measured interval and false.
func (a *auditor) nextZoneIn(zoneOut injectedFault) (time.Time, bool) {
	for _, h := range a.faults {
		if h.fault.action == actionZoneIn && h.fault.argument == zoneOut.fault.argument && h.at.After(zoneOut.at) {
			return h.at, true
		}
	}
	return a.end, false
}

// startTimes returns the start times of the requests in a zone, in order.
func (a *auditor) startTimes(zone string) []time.Time {
	var times []time.Time
	for _, r := range a.records {
		if r.started && a.zones[r.target] == zone {
			times = append(times, r.start)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// recoveryTime returns the time from zone-in until the zone's request rate has
// recovered, or notMeasured if it does not recover.
func (a *auditor) recoveryTime(starts []time.Time, zoneOut, zoneIn time.Time) time.Duration {
	from := zoneOut.Add(-baselineLength)
	if from.Before(a.begin) {
		from = a.begin
	}
	baseline := float64(countBetween(starts, from, zoneOut)) / zoneOut.Sub(from).Seconds()
	threshold := recoveryShare * baseline * recoveryWindow.Seconds()
	for at := zoneIn; !at.Add(recoveryWindow).After(a.end); at = at.Add(recoveryStep) {
		if float64(countBetween(starts, at, at.Add(recoveryWindow))) >= threshold {
			return at.Sub(zoneIn)
		}
	}
	return notMeasured
}

// countBetween returns how many of the sorted times are in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	index := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
		return i
	}
	return index(to) - index(from)
}
