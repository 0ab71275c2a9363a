package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/magnoliashore/magnoliashore"
)

// RenderTable writes the operators' table in aligned columns for a person.
func RenderTable(w io.Writer, table magnoliashore.Table) error {
	out := newTabWriter(w)
	fmt.Fprintln(out, strings.ToUpper(strings.Join(columns(), "\t")))
	for _, row := range tableRows(table) {
		values := make([]string, 0, len(columns()))
		for _, value := range record(row) {
			values = append(values, mark(value))
		}
		fmt.Fprintln(out, strings.Join(values, "\t"))
	}
	return magnoliashore.Step(out.Flush(), "render table", "")
}

// RenderTableJSON writes the operators' table as a JSON list with an object a
// row, whose values are text as in the CSV; empty cells are left out.
func RenderTableJSON(w io.Writer, table magnoliashore.Table) error {
	rows := make([]map[string]string, 0, len(table.Zones())+len(table.Services()))
	for _, row := range tableRows(table) {
		filled := make(map[string]string, len(row))
		for column, value := range row {
			if value != "" {
				filled[column] = value
			}
		}
		rows = append(rows, filled)
	}
	return writeJSON(w, rows, "render table")
}

// changeMessage is a change in JSON.
type changeMessage struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// RenderChanges writes changes for a person, one a line.
func RenderChanges(w io.Writer, changes []Change) error {
	out := newTabWriter(w)
	fmt.Fprintln(out, "ROW\tCOLUMN\tBEFORE\tAFTER")
	for _, c := range changes {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", c.Row(), c.Column(), mark(c.Before()), mark(c.After()))
	}
	return magnoliashore.Step(out.Flush(), "render changes", "")
}

// RenderChangesJSON writes changes as a JSON list.
func RenderChangesJSON(w io.Writer, changes []Change) error {
	list := make([]changeMessage, 0, len(changes))
	for _, c := range changes {
		list = append(list, changeMessage{Row: c.Row(), Column: c.Column(), Before: c.Before(), After: c.After()})
	}
	return writeJSON(w, list, "render changes")
}

func writeJSON(w io.Writer, value any, step string) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return magnoliashore.Step(encoder.Encode(value), step, "")
}

func newTabWriter(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
}

// mark returns text for one column of a rendering: a dash if it is empty, and
// control characters, which could disturb a terminal, as spaces.
func mark(text string) string {
	if text == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
