package load

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// Kinds of rows of a report.
const (
	kindGroup = "group"
	kindClass = "class"
)

// Quantiles of a report, in percent.
const (
	quantileMedian  = 50
	quantileHigh    = 99
	quantileHighest = 99.9
)

// result is what one policy gave.
type result struct {
	policy   string
	begin    time.Time // of the counted time
	end      time.Time
	recorder *recorder
	records  []record
	events   []magnoliashore.Event // of the entry hosts, in order of time
	audit    audit
}

// Report is what an experiment measured.
type Report struct {
	experiment Experiment
	rows       []row
	results    []result
}

// row is what was measured of one group or class under one policy.
type row struct {
	policy, kind, name             string
	queries, ran, refused, unknown int
	goodput                        float64 // good answers per second
	p50, p99, p999                 time.Duration
	coverage, lowest, complete     float64 // shares
	extra                          float64 // sub-requests above one per partition, a share
	reasons                        map[magnoliashore.Reason]int
	missing                        map[magnoliashore.Reason]int
}

func newReport(e Experiment) Report { return Report{experiment: e} }

// Queries returns how many queries were counted, over all policies.
func (r Report) Queries() int {
	n := 0
	for _, row := range r.rows {
		if row.kind == kindGroup {
			n += row.queries
		}
	}
	return n
}

// add takes in the result of one policy.
func (r *Report) add(found result) {
	r.results = append(r.results, found)
	known := classes(r.experiment.shape)
	byClass := make(map[magnoliashore.Class]*count)
	for i, g := range r.experiment.groups {
		c := found.recorder.groups[i]
		r.rows = append(r.rows, r.row(found.policy, kindGroup, string(g.name), c))
		class := known[g.name]
		if byClass[class] == nil {
			byClass[class] = newCount(latencyDigits)
		}
		byClass[class].merge(c)
	}
	for _, class := range magnoliashore.Classes() {
		if c, ok := byClass[class]; ok {
			r.rows = append(r.rows, r.row(found.policy, kindClass, class.String(), c))
		}
	}
}

func (r *Report) row(policy, kind, name string, c *count) row {
	out := row{
		policy: policy, kind: kind, name: name,
		queries: c.queries, ran: c.ran, refused: c.refused, unknown: c.unknown,
		reasons: c.reasons, missing: c.missing,
		goodput: float64(c.good) / r.experiment.length.Seconds(),
		p50:     quantile(c, quantileMedian), p99: quantile(c, quantileHigh), p999: quantile(c, quantileHighest),
		lowest: c.lowest,
	}
	if c.ran > 0 {
		out.coverage = c.share / float64(c.ran)
		out.complete = float64(c.complete) / float64(c.ran)
	}
	if c.partitions > 0 {
		out.extra = float64(c.subs)/float64(c.partitions) - 1
	}
	return out
}

// quantile returns the latency below which percent of the answers came.
func quantile(c *count, percent float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// lateness returns how late queries were sent, as the 99th percentile and the
// maximum.
func (f result) lateness() (p99, most time.Duration) {
	late := f.recorder.late
	return time.Duration(late.ValueAtQuantile(quantileHigh)) * time.Microsecond, time.Duration(late.Max()) * time.Microsecond
}

// turned returns how often entry hosts took a target for cold, by the cause
// that they state.
func (f result) turned() map[magnoliashore.Reason]int {
	causes := make(map[magnoliashore.Reason]int)
	for _, e := range f.events {
		if e.Code() == event.TargetCold && !e.At().Before(f.begin) && e.At().Before(f.end) {
			causes[magnoliashore.Reason(e.Detail())]++
		}
	}
	return causes
}

// find returns the row of a policy with the same kind and name.
func (r Report) find(policy string, like row) (row, bool) {
	for _, candidate := range r.rows {
		if candidate.policy == policy && candidate.kind == like.kind && candidate.name == like.name {
			return candidate, true
		}
	}
	return row{}, false
}

// ratio is a row compared with that of another policy.
type ratio struct {
	policy, kind, name string
	p50, p99, p999     float64 // latency of the other policy over this one's
	goodput            float64 // goodput over the other policy's
	complete           float64 // share of complete answers less the other policy's
}

// ratios compares every row with that of the policy named by against.
func (r Report) ratios() []ratio {
	var list []ratio
	for _, row := range r.rows {
		base, ok := r.find(r.experiment.against, row)
		if !ok || row.policy == base.policy {
			continue
		}
		list = append(list, ratio{
			policy: row.policy, kind: row.kind, name: row.name,
			p50: over(base.p50, row.p50), p99: over(base.p99, row.p99), p999: over(base.p999, row.p999),
			goodput: divide(row.goodput, base.goodput), complete: row.complete - base.complete,
		})
	}
	return list
}

func over(a, b time.Duration) float64 { return divide(float64(a), float64(b)) }

// divide returns zero where nothing was measured to divide by.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
