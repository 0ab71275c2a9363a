package operator

import (
	"cmp"
	"io"
	"slices"
	"strconv"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// timeFormat is how the time line writes wall clock times.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// MergeEvents joins the events of several hosts into one time line: by logical
// clock, then by wall clock time, then by host.
func MergeEvents(lists ...[]magnoliashore.Event) []magnoliashore.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	return all
}

func compareEvents(a, b magnoliashore.Event) int {
	return cmp.Or(
		cmp.Compare(a.Order(), b.Order()),
		a.At().Compare(b.At()),
		cmp.Compare(a.Host(), b.Host()),
	)
}

// Filter selects events; an empty field selects all.
type Filter struct {
	Query  magnoliashore.QueryID
	Target magnoliashore.TargetID
	Kind   string // one-word name of the event
}

// Select returns the events that the filter selects, in their order.
func (f Filter) Select(events []magnoliashore.Event) []magnoliashore.Event {
	selected := make([]magnoliashore.Event, 0, len(events))
	for _, e := range events {
		if f.selects(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

func (f Filter) selects(e magnoliashore.Event) bool {
	if f.Query != "" && f.Query != e.Query() {
		return false
	}
	if f.Target != "" && f.Target != e.Target() {
		return false
	}
	return f.Kind == "" || f.Kind == event.Name(e.Code())
}

// RenderEvents writes events as a table for a person, one a line.
func RenderEvents(w io.Writer, events []magnoliashore.Event) error {
	rows := newGrid(len(events), "order", "time", "host", "code", "event", "query", "target", "peer", "detail")
	for _, e := range events {
		rows = append(rows, []string{
			strconv.FormatUint(e.Order(), 10), e.At().UTC().Format(timeFormat), string(e.Host()),
			strconv.Itoa(int(e.Code())), event.Name(e.Code()),
			string(e.Query()), string(e.Target()), e.Peer(), e.Detail(),
		})
	}
	return magnoliashore.Step(writeGrid(w, rows), "render events", "")
}
