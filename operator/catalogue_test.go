package operator

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

var catalogueRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z-]+) \| ([^|]+) \| ([^|]+) \|$`)

// TestCatalogue checks that docs/EVENTS.md describes every event once, with its
// number and name, in ascending order.
func TestCatalogue(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	want := event.Names()
	got := make(map[magnoliashore.EventCode]string)
	last := 0
	for _, row := range catalogueRow.FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(row[1])
		if err != nil {
			t.Fatal(err)
		}
		if number <= last {
			t.Errorf("event %d comes after %d", number, last)
		}
		last = number
		got[magnoliashore.EventCode(number)] = row[2]
	}
	for code, name := range want {
		if got[code] != name {
			t.Errorf("event %d: got name %q, want %q", code, got[code], name)
		}
	}
	for code, name := range got {
		if _, ok := want[code]; !ok {
			t.Errorf("event %d %q is described but does not exist", code, name)
		}
	}
}
