package load

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/magnoliashore/magnoliashore/timer"
)

// TestRun runs a small experiment end to end, with both kinds of policy.
func TestRun(t *testing.T) {
	t.Parallel()
	runner := &Runner{Experiment: mustDecode(t, smallExperiment), Clock: &timer.Service{}}
	report, err := runner.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	checkRows(t, report)
	for _, f := range report.results {
		if f.audit.repeatedRuns+f.audit.falseNotRun > 0 || f.audit.requests == 0 {
			t.Errorf("%s: got %+v, want requests and neither second runs nor false notrun", f.policy, f.audit)
		}
	}
	dir := t.TempDir()
	if err := report.Plot(dir); err != nil {
		t.Error(err)
	}
	plots, _ := os.ReadDir(dir)
	if got, want := len(plots), 2; got != want {
		t.Errorf("plots: got %d, want %d", got, want)
	}
	checkOutputs(t, report)
}

func checkRows(t *testing.T, report Report) {
	t.Helper()
	for _, row := range report.rows {
		if got, want := row.ran+row.refused+row.unknown, row.queries; got != want || got == 0 {
			t.Errorf("%s %s: got %d outcomes, want %d", row.policy, row.name, got, want)
		}
	}
}

func checkOutputs(t *testing.T, report Report) {
	t.Helper()
	var text, trace, data bytes.Buffer
	if err := report.WriteText(&text); err != nil || text.Len() == 0 {
		t.Errorf("text: got %d bytes and %v", text.Len(), err)
	}
	if err := report.WriteTrace(&trace, 1); err != nil || trace.Len() == 0 {
		t.Errorf("trace: got %d bytes and %v", trace.Len(), err)
	}
	if err := report.WriteJSON(&data); err != nil {
		t.Error(err)
	}
	var got wireReport
	if err := json.Unmarshal(data.Bytes(), &got); err != nil || len(got.Rows) != len(report.rows) {
		t.Errorf("json: got %d rows and %v, want %d", len(got.Rows), err, len(report.rows))
	}
}
