package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/magnoliashore/magnoliashore"
)

// columnSpacing is the number of spaces between columns.
const columnSpacing = 2

// RenderTable writes the operators' table as text in aligned columns.
func RenderTable(w io.Writer, table magnoliashore.Table) error {
	rows := newGrid(len(table.Zones())+len(table.Services()), columns()...)
	for _, row := range tableRows(table) {
		rows = append(rows, record(row))
	}
	return magnoliashore.Step(writeGrid(w, rows), "render table", "")
}

// RenderTableJSON writes the operators' table as a JSON list with one object per
// row. Values are strings as in the CSV; empty cells are omitted.
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

// changeMessage is the JSON form of a Change.
type changeMessage struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// RenderChanges writes changes as text in aligned columns, one per line.
func RenderChanges(w io.Writer, changes []Change) error {
	rows := newGrid(len(changes), "row", "column", "before", "after")
	for _, c := range changes {
		rows = append(rows, []string{c.Row(), c.Column(), c.Before(), c.After()})
	}
	return magnoliashore.Step(writeGrid(w, rows), "render changes", "")
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

// newGrid returns a grid that holds only the heading. Its capacity allows for the
// given number of rows below it.
func newGrid(rows int, heading ...string) [][]string {
	return append(make([][]string, 0, rows+1), heading)
}

// writeGrid writes rows in aligned columns, the first one in upper case as the
// heading.
func writeGrid(w io.Writer, rows [][]string) error {
	var text bytes.Buffer
	for i, row := range rows {
		for column, value := range row {
			if i == 0 {
				value = strings.ToUpper(value)
			}
			if column > 0 {
				text.WriteByte('\t')
			}
			text.WriteString(sanitize(value))
		}
		text.WriteByte('\n')
	}
	out := tabwriter.NewWriter(w, 0, 0, columnSpacing, ' ', 0)
	if _, err := text.WriteTo(out); err != nil {
		return err
	}
	return out.Flush()
}

// sanitize makes text safe for one column of a terminal: empty text becomes a
// dash, and control characters become spaces.
func sanitize(text string) string {
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
