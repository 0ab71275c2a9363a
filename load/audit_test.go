package load

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func TestAuditCounts(t *testing.T) {
	t.Parallel()
	a := &auditor{
		begin: epoch, end: at(time.Second),
		outcomes: map[magnoliashore.QueryID]magnoliashore.Outcome{
			"ran": magnoliashore.OutcomeRan, "not": magnoliashore.OutcomeNotRun, "refused": magnoliashore.OutcomeNotRun,
		},
		records: []record{
			{query: "ran", partition: "p", atMostOnce: true, started: true, start: epoch, result: standin.ResultDone},
			{query: "ran", partition: "p", atMostOnce: true, started: true, start: epoch, result: standin.ResultDone},
			{query: "ran", partition: "q", atMostOnce: true, started: true, start: epoch, result: standin.ResultDone},
			{query: "not", partition: "p", started: true, start: epoch, coldReported: true, result: standin.ResultOverrun},
			{query: "not", partition: "p", started: true, start: epoch, result: standin.ResultOverrun},
			{query: "refused", partition: "p", start: epoch, result: standin.ResultRefused},
			{query: "ran", partition: "r", started: true, start: at(time.Minute), result: standin.ResultDone},
		},
	}
	got := a.audit()
	if got.requests != 5 || got.unfinished != 2 || got.overruns != 2 || got.coldReportedOverruns != 1 || got.repeatedRuns != 1 || got.falseNotRun != 1 {
		t.Errorf("got %+v, want 5 requests, 2 unfinished, 2 overruns, 1 of them on a target known to be cold, 1 repeated run and 1 false notrun", got)
	}
}

// TestAuditZone records a request every 10 ms in zone b, with a pause from
// 150 ms after zone-out until gap after zone-in.
func TestAuditZone(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name          string
		zoneIn        bool
		gap           time.Duration // from zone-in to the next request
		wantLastStart time.Duration
		wantRecovery  time.Duration
	}{
		{"immediate recovery", true, 0, 150 * time.Millisecond, 0},
		{"late recovery", true, 2 * time.Second, 150 * time.Millisecond, 1900 * time.Millisecond},
		{"no zone-in", false, time.Hour, 150 * time.Millisecond, notMeasured},
		{"no requests after zone-in", true, time.Hour, 150 * time.Millisecond, notMeasured},
	} {
		zoneOut, zoneIn := at(3*time.Second), at(6*time.Second)
		a := &auditor{
			begin: epoch, end: at(12 * time.Second), zones: map[string]string{"t": "b", "u": "a"},
			faults: []injectedFault{{fault: fault{action: actionZoneOut, argument: "b"}, at: zoneOut}},
		}
		if test.zoneIn {
			a.faults = append(a.faults, injectedFault{fault: fault{action: actionZoneIn, argument: "b"}, at: zoneIn})
		}
		for d := time.Duration(0); d < 12*time.Second; d += 10 * time.Millisecond {
			a.records = append(a.records, record{target: "u", started: true, start: at(d)})
			idle := at(d).After(zoneOut.Add(150*time.Millisecond)) && at(d).Before(zoneIn.Add(test.gap))
			if !idle {
				a.records = append(a.records, record{target: "t", started: true, start: at(d)})
			}
		}
		got := a.audit().zones[0]
		if got.lastStart != test.wantLastStart || got.recovery != test.wantRecovery {
			t.Errorf("%s: got last start %v and recovery %v, want %v and %v", test.name, got.lastStart, got.recovery, test.wantLastStart, test.wantRecovery)
		}
	}
}
