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

// columnPadding is the number of spaces between text columns.
const columnPadding = 2

// writeAnswer writes an answer as text, or as the JSON that callers receive,
// indented.
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
	out := &bytes.Buffer{}
	coverage := answer.Coverage()
	fmt.Fprintf(out, "query\t%s\n", answer.Query())
	fmt.Fprintf(out, "outcome\t%s\n", answer.Outcome())
	if answer.Reason() != magnoliashore.ReasonNone {
		fmt.Fprintf(out, "reason\t%s\n", answer.Reason())
		fmt.Fprintf(out, "detail\t%q\n", answer.Detail())
	}
	if answer.RetryAfter() > 0 {
		fmt.Fprintf(out, "after\t%v\n", answer.RetryAfter())
	}
	fmt.Fprintf(out, "host\t%s\n", answer.Host())
	fmt.Fprintf(out, "snapshot\t%d\n", answer.Snapshot())
	fmt.Fprintf(out, "subs\t%d\n", answer.Subs())
	fmt.Fprintf(out, "coverage\t%d of %d\n", coverage.Covered(), coverage.Total())
	writeCoverage(out, coverage)
	writeResults(out, answer)
	columns := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	if _, err := out.WriteTo(columns); err != nil {
		return err
	}
	return columns.Flush()
}

func writeCoverage(out *bytes.Buffer, coverage magnoliashore.Coverage) {
	for _, z := range coverage.Zones() {
		fmt.Fprintf(out, "zone\t%s\t%d of %d\n", z.Zone(), z.Covered(), z.Total())
	}
	for _, m := range coverage.Missing() {
		fmt.Fprintf(out, "missing\t%s\t%s\n", m.Partition(), m.Reason())
	}
}

func writeResults(out *bytes.Buffer, answer magnoliashore.Answer) {
	for _, p := range answer.Parts() {
		fmt.Fprintf(out, "part\t%s\t%s\t%q\n", p.Partition(), p.Target(), p.Body())
	}
	for _, i := range answer.Items() {
		fmt.Fprintf(out, "item\t%s\t%g\t%s\n", i.Partition(), i.Score(), i.Body())
	}
}
