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
	parts := []func(w io.Writer){r.writeRows, r.writeAudits, r.writeZones, r.writeRatios}
	for _, part := range parts {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		part(table)
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "writing the report")
		}
	}
	return nil
}

func (r Report) writeRows(w io.Writer) {
	line(w, "policy", "kind", "name", "queries", "ran", "refused", "unknown", "good/s", "p50", "p99", "p99.9",
		"coverage", "lowest", "complete", "extra", "refused for", "missing for")
	for _, row := range r.rows {
		line(w, row.policy, row.kind, row.name, row.queries, row.ran, row.refused, row.unknown,
			fmt.Sprintf("%.1f", row.goodput), ms(row.p50), ms(row.p99), ms(row.p999),
			percent(row.coverage), percent(row.lowest), percent(row.complete), percent(row.extra), reasonText(row.reasons), reasonText(row.missing))
	}
}

func (r Report) writeAudits(w io.Writer) {
	line(w, "")
	line(w, "policy", "requests", "undone", "overruns", "told", "second", "falsenotrun", "late p99", "late max", "turned cold for")
	for _, f := range r.results {
		p99, most := f.lateness()
		a := f.audit
		line(w, f.policy, a.requests, a.undone, a.overruns, a.toldOver, a.secondRuns, a.falseNotrun, ms(p99), ms(most), reasonText(f.turned()))
	}
}

func (r Report) writeZones(w io.Writer) {
	for _, f := range r.results {
		for _, z := range f.audit.zones {
			_, _ = fmt.Fprintf(w, "%s: zone %s: last new work %s after zone-out, full service %s after zone-in\n",
				f.policy, z.zone, after(z.last), after(z.back))
		}
	}
}

func (r Report) writeRatios(w io.Writer) {
	list := r.ratios()
	if len(list) == 0 {
		return
	}
	line(w, "")
	line(w, "policy", "kind", "name", "p50 lower", "p99 lower", "p99.9 lower", "good/s ratio", "complete diff")
	for _, x := range list {
		line(w, x.policy, x.kind, x.name, times(x.p50), times(x.p99), times(x.p999), times(x.goodput), percent(x.complete))
	}
	_, _ = fmt.Fprintf(w, "compared with %s; lower: its latency over the policy's\n", r.experiment.against)
}

func line(w io.Writer, cells ...any) {
	var text strings.Builder
	for _, cell := range cells {
		fmt.Fprintf(&text, "%v\t", cell)
	}
	_, _ = fmt.Fprintln(w, text.String())
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func times(factor float64) string { return fmt.Sprintf("%.2fx", factor) }

func after(d time.Duration) string {
	if d == noTime {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

func reasonText(reasons map[magnoliashore.Reason]int) string {
	list := make([]string, 0, len(reasons))
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		list = append(list, fmt.Sprintf("%s=%d", reason, reasons[reason]))
	}
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}
