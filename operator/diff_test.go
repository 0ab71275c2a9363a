package operator

import (
	"slices"
	"strings"
	"testing"

	"github.com/magnoliashore/magnoliashore"
)

func decodeText(t *testing.T, text string) magnoliashore.Table {
	t.Helper()
	table, err := DecodeTable(1, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestDiffTables(t *testing.T) {
	t.Parallel()
	second := strings.Replace(service, "look1", "look2", 1)
	third := strings.Replace(service, "look1", "look3", 1)
	before := decodeText(t, header+zoneRow+service+second)
	after := decodeText(t, header+"zone,a,,,,,,,,,,,,,out\n"+third+strings.Replace(service, "80ms,2", "90ms,3", 1))
	want := []Change{
		{row: "zone a", column: "state", before: "in", after: "out"},
		{row: "service look1", column: "deadline", before: "80ms", after: "90ms"},
		{row: "service look1", column: "slots", before: "2", after: "3"},
		{row: "service look2", column: "row", before: "service"},
		{row: "service look3", column: "row", after: "service"},
	}
	if got := DiffTables(before, after); !slices.Equal(got, want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
}

func TestSanitizeReplacesControlCharacters(t *testing.T) {
	t.Parallel()
	if got, want := sanitize("a\tb\n\x1b[1m"), "a b  [1m"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
