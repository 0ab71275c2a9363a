package operator

import (
	"cmp"
	"io"
	"slices"
	"strconv"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// timeFormat is the layout of wall clock times in a rendered timeline.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// MergeEvents merges the events of several hosts into one timeline, sorted by
// logical clock, then wall clock time, then host.
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

// Filter selects events. An empty field matches all events.
type Filter struct {
	Query  magnoliashore.QueryID
	Target magnoliashore.TargetID
	Kind   string // name of the event, as in event.Name
}

// Select returns the matching events in their original order.
func (f Filter) Select(events []magnoliashore.Event) []magnoliashore.Event {
	selected := make([]magnoliashore.Event, 0, len(events))
	for _, e := range events {
		if f.matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

func (f Filter) matches(e magnoliashore.Event) bool {
	if f.Query != "" && f.Query != e.Query() {
		return false
	}
	if f.Target != "" && f.Target != e.Target() {
		return false
	}
	return f.Kind == "" || f.Kind == event.Name(e.Code())
}

// RenderEvents writes events as text in aligned columns, one per line.
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
