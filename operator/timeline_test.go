package operator

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

var update = flag.Bool("update", false, "write the golden files")

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func stampedEvent(host magnoliashore.HostID, order uint64, after time.Duration, spec magnoliashore.EventSpec) magnoliashore.Event {
	spec.Host = host
	return magnoliashore.NewEvent(spec).Stamp(noon.Add(after), order)
}

func sampleEvents() []magnoliashore.Event {
	e1 := []magnoliashore.Event{
		stampedEvent("e1", 1, time.Hour, magnoliashore.EventSpec{Code: event.Started, Detail: "incarnation 17"}),
		stampedEvent("e1", 4, time.Hour, magnoliashore.EventSpec{Code: event.QueryHedged, Query: "q1", Target: "look1a", Peer: "e2"}),
	}
	e2 := []magnoliashore.Event{
		stampedEvent("e2", 1, time.Second, magnoliashore.EventSpec{Code: event.Started}),
		stampedEvent("e2", 3, 2*time.Second, magnoliashore.EventSpec{Code: event.LeaseHeld, Target: "look1a"}),
		stampedEvent("e2", 4, time.Hour, magnoliashore.EventSpec{Code: 999, Detail: "from a later version\n"}),
	}
	return MergeEvents(e2, e1)
}

func TestMergeEvents(t *testing.T) {
	t.Parallel()
	events := sampleEvents()
	got := make([]string, 0, len(events))
	for _, e := range events {
		got = append(got, string(e.Host())+" "+event.Name(e.Code()))
	}
	want := []string{"e2 started", "e1 started", "e2 lease-held", "e1 query-hedged", "e2 unknown"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q\nwant %q", got, want)
	}
}

func TestFilter(t *testing.T) {
	t.Parallel()
	cases := []struct {
		filter Filter
		want   int
	}{
		{Filter{}, 5},
		{Filter{Query: "q1"}, 1},
		{Filter{Target: "look1a"}, 2},
		{Filter{Kind: "started"}, 2},
		{Filter{Target: "look1a", Kind: "lease-held"}, 1},
		{Filter{Query: "q1", Kind: "started"}, 0},
	}
	for _, c := range cases {
		if got := len(c.filter.Select(sampleEvents())); got != c.want {
			t.Errorf("%+v: got %d events, want %d", c.filter, got, c.want)
		}
	}
}

func TestEventsGolden(t *testing.T) {
	t.Parallel()
	var lines, text bytes.Buffer
	if err := EncodeEvents(&lines, sampleEvents()); err != nil {
		t.Fatal(err)
	}
	if err := RenderEvents(&text, sampleEvents()); err != nil {
		t.Fatal(err)
	}
	golden(t, "events.jsonl", lines.Bytes())
	golden(t, "events.txt", text.Bytes())
	got, err := DecodeEvents(&lines)
	if err != nil {
		t.Fatal(err)
	}
	if want := sampleEvents(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile("testdata/"+name, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := readTestdata(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got %s\nwant %s", name, got, want)
	}
}

func TestDecodeEventsRefuses(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		"{}":                                 "line 1: at",
		"\n{\"at\":\"noon\"}":                "line 2: at",
		"{":                                  "line 1",
		strings.Repeat("x", maxEventBytes+1): "too long",
	} {
		if _, err := DecodeEvents(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
