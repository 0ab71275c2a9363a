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

// Latency percentiles of a report.
const (
	percentileMedian = 50
	percentile99     = 99
	percentile999    = 99.9
)

// policyResult holds the measurements of one policy.
type policyResult struct {
	policy   string
	begin    time.Time // start of the measured interval
	end      time.Time // end of the measured interval
	recorder *recorder
	records  []record
	events   []magnoliashore.Event // of the entry hosts, in order of time
	audit    audit
}

// Report holds the measurements of an experiment.
type Report struct {
	experiment Experiment
	rows       []row
	results    []policyResult
}

// row holds the measurements of one group or class under one policy.
type row struct {
	policy, kind, name             string
	queries, ran, refused, unknown int
	goodput                        float64 // good answers per second
	p50, p99, p999                 time.Duration
	coverage, lowest, complete     float64                      // mean and lowest coverage, share of complete answers
	extra                          float64                      // extra sub-requests as a share of the partitions
	reasons                        map[magnoliashore.Reason]int // why queries were refused
	missing                        map[magnoliashore.Reason]int // why partitions are missing from answers
}

func newReport(e Experiment) Report { return Report{experiment: e} }

// Queries returns the number of measured queries over all policies.
func (r Report) Queries() int {
	n := 0
	for _, row := range r.rows {
		if row.kind == kindGroup {
			n += row.queries
		}
	}
	return n
}

// add adds the result of one policy, as a row for each group and each class.
func (r *Report) add(result policyResult) {
	r.results = append(r.results, result)
	groupClass := groupClasses(r.experiment.shape)
	byClass := make(map[magnoliashore.Class]*queryStats)
	for i, g := range r.experiment.groups {
		c := result.recorder.groups[i]
		r.rows = append(r.rows, r.row(result.policy, kindGroup, string(g.name), c))
		class := groupClass[g.name]
		if byClass[class] == nil {
			byClass[class] = newQueryStats(latencyDigits)
		}
		byClass[class].merge(c)
	}
	for _, class := range magnoliashore.Classes() {
		if c, ok := byClass[class]; ok {
			r.rows = append(r.rows, r.row(result.policy, kindClass, class.String(), c))
		}
	}
}

func (r *Report) row(policy, kind, name string, c *queryStats) row {
	out := row{
		policy: policy, kind: kind, name: name,
		queries: c.queries, ran: c.ran, refused: c.refused, unknown: c.unknown,
		reasons: c.reasons, missing: c.missing,
		goodput: float64(c.good) / r.experiment.length.Seconds(),
		p50:     percentile(c, percentileMedian), p99: percentile(c, percentile99), p999: percentile(c, percentile999),
		lowest: c.lowestCoverage,
	}
	if c.ran > 0 {
		out.coverage = c.coverageSum / float64(c.ran)
		out.complete = float64(c.complete) / float64(c.ran)
	}
	if c.partitions > 0 {
		out.extra = float64(c.subRequests)/float64(c.partitions) - 1
	}
	return out
}

// percentile returns the latency at the given percentile.
func percentile(c *queryStats, percent float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// sendDelay returns the 99th percentile and the maximum of the delay between
// the scheduled time of a query and sending it.
func (f policyResult) sendDelay() (p99, maximum time.Duration) {
	delays := f.recorder.sendDelays
	return time.Duration(delays.ValueAtQuantile(percentile99)) * time.Microsecond, time.Duration(delays.Max()) * time.Microsecond
}

// coldTransitions counts how often entry hosts marked a target as cold, by the
// reason in the event.
func (f policyResult) coldTransitions() map[magnoliashore.Reason]int {
	counts := make(map[magnoliashore.Reason]int)
	for _, e := range f.events {
		if e.Code() == event.TargetCold && !e.At().Before(f.begin) && e.At().Before(f.end) {
			counts[magnoliashore.Reason(e.Detail())]++
		}
	}
	return counts
}

// find returns the row of a policy with the same kind and name as other.
func (r Report) find(policy string, other row) (row, bool) {
	for _, candidate := range r.rows {
		if candidate.policy == policy && candidate.kind == other.kind && candidate.name == other.name {
			return candidate, true
		}
	}
	return row{}, false
}

// ratio compares a row with that of the baseline policy.
type ratio struct {
	policy, kind, name string
	p50, p99, p999     float64 // baseline's latency divided by the policy's
	goodput            float64 // policy's goodput divided by the baseline's
	complete           float64 // policy's share of complete answers minus the baseline's
}

// ratios compares every row with that of the baseline policy. It is empty
// without a baseline.
func (r Report) ratios() []ratio {
	var list []ratio
	for _, row := range r.rows {
		base, ok := r.find(r.experiment.baseline, row)
		if !ok || row.policy == base.policy {
			continue
		}
		list = append(list, ratio{
			policy: row.policy, kind: row.kind, name: row.name,
			p50: divideTimes(base.p50, row.p50), p99: divideTimes(base.p99, row.p99), p999: divideTimes(base.p999, row.p999),
			goodput: divide(row.goodput, base.goodput), complete: row.complete - base.complete,
		})
	}
	return list
}

func divideTimes(a, b time.Duration) float64 { return divide(float64(a), float64(b)) }

// divide returns a / b, or zero if b is zero because nothing was measured.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
