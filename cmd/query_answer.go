package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// writeAnswer writes an answer as JSON, as callers get it, or as text.
func writeAnswer(w io.Writer, answer magnoliashore.Answer, asJSON bool) error {
	if !asJSON {
		return writeAnswerText(w, answer)
	}
	data, err := wire.EncodeAnswer(wire.JSON, answer)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}

func writeAnswerText(w io.Writer, answer magnoliashore.Answer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	coverage := answer.Coverage()
	fmt.Fprintf(out, "query\t%s\n", answer.Query())
	fmt.Fprintf(out, "outcome\t%s\n", answer.Outcome())
	if answer.Reason() != magnoliashore.ReasonNone {
		fmt.Fprintf(out, "reason\t%s\n", answer.Reason())
		fmt.Fprintf(out, "detail\t%q\n", answer.Detail())
	}
	if answer.After() > 0 {
		fmt.Fprintf(out, "after\t%v\n", answer.After())
	}
	fmt.Fprintf(out, "host\t%s\n", answer.Host())
	fmt.Fprintf(out, "snapshot\t%d\n", answer.Snapshot())
	fmt.Fprintf(out, "subs\t%d\n", answer.Subs())
	fmt.Fprintf(out, "coverage\t%d of %d\n", coverage.Covered(), coverage.Total())
	writeCoverage(out, coverage)
	writeResults(out, answer)
	return out.Flush()
}

func writeCoverage(w io.Writer, coverage magnoliashore.Coverage) {
	for _, z := range coverage.Zones() {
		fmt.Fprintf(w, "zone\t%s\t%d of %d\n", z.Zone(), z.Covered(), z.Total())
	}
	for _, m := range coverage.Missing() {
		fmt.Fprintf(w, "missing\t%s\t%s\n", m.Partition(), m.Reason())
	}
}

func writeResults(w io.Writer, answer magnoliashore.Answer) {
	for _, p := range answer.Parts() {
		fmt.Fprintf(w, "part\t%s\t%s\t%q\n", p.Partition(), p.Target(), p.Body())
	}
	for _, i := range answer.Items() {
		fmt.Fprintf(w, "item\t%s\t%g\t%s\n", i.Partition(), i.Score(), i.Body())
	}
}
