package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	sections := []func(w io.Writer){r.writeRows, r.writeAudits, r.writeZones, r.writeRatios}
	for _, section := range sections {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		section(table)
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "write the report")
		}
	}
	return nil
}

func (r Report) writeRows(w io.Writer) {
	writeCells(w, "policy", "kind", "name", "queries", "ran", "refused", "unknown", "good/s", "p50", "p99", "p99.9",
		"coverage", "lowest", "complete", "extra", "refused for", "missing for")
	for _, row := range r.rows {
		writeCells(w, row.policy, row.kind, row.name, row.queries, row.ran, row.refused, row.unknown,
			fmt.Sprintf("%.1f", row.goodput), formatMillis(row.p50), formatMillis(row.p99), formatMillis(row.p999),
			formatPercent(row.coverage), formatPercent(row.lowest), formatPercent(row.complete), formatPercent(row.extra), formatReasons(row.reasons), formatReasons(row.missing))
	}
}

func (r Report) writeAudits(w io.Writer) {
	writeCells(w, "")
	writeCells(w, "policy", "requests", "undone", "overruns", "told", "second", "falsenotrun", "late p99", "late max", "turned cold for")
	for _, f := range r.results {
		p99, maximum := f.sendDelay()
		a := f.audit
		writeCells(w, f.policy, a.requests, a.unfinished, a.overruns, a.coldReportedOverruns, a.repeatedRuns, a.falseNotRun, formatMillis(p99), formatMillis(maximum), formatReasons(f.coldTransitions()))
	}
}

func (r Report) writeZones(w io.Writer) {
	for _, f := range r.results {
		for _, z := range f.audit.zones {
			_, _ = fmt.Fprintf(w, "%s: zone %s: last new work %s after zone-out, full service %s after zone-in\n",
				f.policy, z.zone, formatDelay(z.lastStart), formatDelay(z.recovery))
		}
	}
}

func (r Report) writeRatios(w io.Writer) {
	list := r.ratios()
	if len(list) == 0 {
		return
	}
	writeCells(w, "")
	writeCells(w, "policy", "kind", "name", "p50 lower", "p99 lower", "p99.9 lower", "good/s ratio", "complete diff")
	for _, x := range list {
		writeCells(w, x.policy, x.kind, x.name, formatFactor(x.p50), formatFactor(x.p99), formatFactor(x.p999), formatFactor(x.goodput), formatPercent(x.complete))
	}
	_, _ = fmt.Fprintf(w, "compared with %s; lower: its latency divided by the policy's\n", r.experiment.baseline)
}

func writeCells(w io.Writer, cells ...any) {
	var text strings.Builder
	for _, cell := range cells {
		fmt.Fprintf(&text, "%v\t", cell)
	}
	_, _ = fmt.Fprintln(w, text.String())
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func formatPercent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func formatFactor(factor float64) string { return fmt.Sprintf("%.2fx", factor) }

func formatDelay(d time.Duration) string {
	if d == notMeasured {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

func formatReasons(reasons map[magnoliashore.Reason]int) string {
	list := make([]string, 0, len(reasons))
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		list = append(list, fmt.Sprintf("%s=%d", reason, reasons[reason]))
	}
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}
