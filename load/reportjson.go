package load

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

type wireReport struct {
	Experiment string      `json:"experiment"`
	Seed       uint64      `json:"seed"`
	Rows       []wireRow   `json:"rows"`
	Audits     []wireAudit `json:"audits"`
	Against    string      `json:"against"`
	Ratios     []wireRatio `json:"ratios"`
}

// wireRow is one row of the report: latencies in milliseconds, goodput in
// answers per second, shares from 0 to 1.
type wireRow struct {
	Policy   string         `json:"policy"`
	Kind     string         `json:"kind"`
	Name     string         `json:"name"`
	Queries  int            `json:"queries"`
	Ran      int            `json:"ran"`
	Refused  int            `json:"refused"`
	Unknown  int            `json:"unknown"`
	Goodput  float64        `json:"goodput"`
	P50      float64        `json:"p50"`
	P99      float64        `json:"p99"`
	P999     float64        `json:"p999"`
	Coverage float64        `json:"coverage"`
	Lowest   float64        `json:"lowest"`
	Complete float64        `json:"complete"`
	Extra    float64        `json:"extra"`
	Reasons  map[string]int `json:"reasons"`
	Missing  map[string]int `json:"missing"`
}

// wireAudit is the audit of one policy; times are in milliseconds.
type wireAudit struct {
	Policy      string         `json:"policy"`
	Requests    int            `json:"requests"`
	Undone      int            `json:"undone"`
	Overruns    int            `json:"overruns"`
	Told        int            `json:"told"`
	Second      int            `json:"second"`
	FalseNotrun int            `json:"falsenotrun"`
	LateP99     float64        `json:"latep99"`
	LateMax     float64        `json:"latemax"`
	Zones       []wireZone     `json:"zones"`
	Turned      map[string]int `json:"turned"`
}

// wireZone has times in milliseconds, or null if the event did not happen.
type wireZone struct {
	Zone string   `json:"zone"`
	Last *float64 `json:"last"`
	Back *float64 `json:"back"`
}

type wireRatio struct {
	Policy   string  `json:"policy"`
	Kind     string  `json:"kind"`
	Name     string  `json:"name"`
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
	P999     float64 `json:"p999"`
	Goodput  float64 `json:"goodput"`
	Complete float64 `json:"complete"`
}

// WriteJSON writes the report as JSON; times are in milliseconds.
func (r Report) WriteJSON(w io.Writer) error {
	wire := wireReport{
		Experiment: r.experiment.name, Seed: r.experiment.seed, Against: r.experiment.baseline,
		Rows: []wireRow{}, Audits: []wireAudit{}, Ratios: []wireRatio{},
	}
	for _, row := range r.rows {
		wire.Rows = append(wire.Rows, row.wire())
	}
	for _, f := range r.results {
		wire.Audits = append(wire.Audits, f.wire())
	}
	for _, x := range r.ratios() {
		wire.Ratios = append(wire.Ratios, wireRatio{
			Policy: x.policy, Kind: x.kind, Name: x.name, P50: x.p50, P99: x.p99, P999: x.p999,
			Goodput: x.goodput, Complete: x.complete,
		})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(wire), "write the report")
}

func (row row) wire() wireRow {
	out := wireRow{
		Policy: row.policy, Kind: row.kind, Name: row.name,
		Queries: row.queries, Ran: row.ran, Refused: row.refused, Unknown: row.unknown, Goodput: row.goodput,
		P50: millis(row.p50), P99: millis(row.p99), P999: millis(row.p999),
		Coverage: row.coverage, Lowest: row.lowest, Complete: row.complete, Extra: row.extra,
		Reasons: reasonCounts(row.reasons), Missing: reasonCounts(row.missing),
	}
	return out
}

func reasonCounts(reasons map[magnoliashore.Reason]int) map[string]int {
	out := make(map[string]int, len(reasons))
	for reason, n := range reasons {
		out[string(reason)] = n
	}
	return out
}

func (f policyResult) wire() wireAudit {
	p99, maximum := f.sendDelay()
	out := wireAudit{
		Policy: f.policy, Requests: f.audit.requests, Undone: f.audit.unfinished, Overruns: f.audit.overruns, Told: f.audit.coldReportedOverruns,
		Second: f.audit.repeatedRuns, FalseNotrun: f.audit.falseNotRun,
		LateP99: millis(p99), LateMax: millis(maximum), Zones: []wireZone{},
		Turned: reasonCounts(f.coldTransitions()),
	}
	for _, z := range f.audit.zones {
		out.Zones = append(out.Zones, wireZone{Zone: z.zone, Last: optionalMillis(z.lastStart), Back: optionalMillis(z.recovery)})
	}
	return out
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func optionalMillis(d time.Duration) *float64 {
	if d == notMeasured {
		return nil
	}
	value := millis(d)
	return &value
}
