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
		told: map[magnoliashore.QueryID]magnoliashore.Outcome{
			"ran": magnoliashore.OutcomeRan, "not": magnoliashore.OutcomeNotRun, "refused": magnoliashore.OutcomeNotRun,
		},
		records: []record{
			{query: "ran", partition: "p", once: true, begun: true, start: epoch, result: standin.ResultDone},
			{query: "ran", partition: "p", once: true, begun: true, start: epoch, result: standin.ResultDone},
			{query: "ran", partition: "q", once: true, begun: true, start: epoch, result: standin.ResultDone},
			{query: "not", partition: "p", begun: true, start: epoch, told: true, result: standin.ResultOverrun},
			{query: "not", partition: "p", begun: true, start: epoch, result: standin.ResultOverrun},
			{query: "refused", partition: "p", start: epoch, result: standin.ResultRefused},
			{query: "ran", partition: "r", begun: true, start: at(time.Minute), result: standin.ResultDone},
		},
	}
	got := a.audit()
	if got.requests != 5 || got.undone != 2 || got.overruns != 2 || got.toldOver != 1 || got.secondRuns != 1 || got.falseNotrun != 1 {
		t.Errorf("got %+v, want 5 requests, 2 undone, 2 overruns, 1 told, 1 second run and 1 false notrun", got)
	}
}

// TestAuditZone has a request every 10 ms in zone b, except from 150 ms after
// zone-out until a time after zone-in.
func TestAuditZone(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		in       bool
		gap      time.Duration // from zone-in to the next request
		lastWant time.Duration
		backWant time.Duration
	}{
		{"back at once", true, 0, 150 * time.Millisecond, 0},
		{"back late", true, 2 * time.Second, 150 * time.Millisecond, 1900 * time.Millisecond},
		{"never in", false, time.Hour, 150 * time.Millisecond, noTime},
		{"in, no work", true, time.Hour, 150 * time.Millisecond, noTime},
	} {
		out, in := at(3*time.Second), at(6*time.Second)
		a := &auditor{
			begin: epoch, end: at(12 * time.Second), zones: map[string]string{"t": "b", "u": "a"},
			faults: []happened{{fault: fault{do: actionZoneOut, on: "b"}, at: out}},
		}
		if test.in {
			a.faults = append(a.faults, happened{fault: fault{do: actionZoneIn, on: "b"}, at: in})
		}
		for d := time.Duration(0); d < 12*time.Second; d += 10 * time.Millisecond {
			a.records = append(a.records, record{target: "u", begun: true, start: at(d)})
			idle := at(d).After(out.Add(150*time.Millisecond)) && at(d).Before(in.Add(test.gap))
			if !idle {
				a.records = append(a.records, record{target: "t", begun: true, start: at(d)})
			}
		}
		got := a.audit().zones[0]
		if got.last != test.lastWant || got.back != test.backWant {
			t.Errorf("%s: got %v and %v, want %v and %v", test.name, got.last, got.back, test.lastWant, test.backWant)
		}
	}
}
