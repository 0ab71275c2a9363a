package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// now is the decoding time in the tests.
var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func formats() []Format { return []Format{JSON, CBOR} }

func fullQuery() magnoliashore.Query {
	return magnoliashore.NewQuery(magnoliashore.QuerySpec{
		ID:       "q1",
		Group:    "gallery",
		Services: []magnoliashore.ServiceName{"look1", "look2"},
		Body:     []byte{0, 255, '{'},
		Deadline: now.Add(80 * time.Millisecond),
		Once:     true,
		Ticket:   magnoliashore.NewTicket("e1", 1<<63, 2, "f00d"),
		Merge:    magnoliashore.MergeBest(10),
	})
}

func TestQueryRoundTrip(t *testing.T) {
	t.Parallel()
	for _, format := range formats() {
		data, err := EncodeQuery(format, fullQuery(), now)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeQuery(format, data, now)
		if err != nil {
			t.Fatal(err)
		}
		if want := fullQuery(); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v\nwant %+v", got, want)
		}
	}
}

func TestDecodeQueryExample(t *testing.T) {
	t.Parallel()
	const example = `{"id":"q1","group":"gallery","services":[],"body":"e30=","deadline":80,"once":false,
		"ticket":{"host":"e1","incarnation":17,"epoch":2,"id":"f00d"},"merge":"best","best":10}`
	got, err := DecodeQuery(JSON, []byte(example), now)
	if err != nil {
		t.Fatal(err)
	}
	if string(got.Body()) != "{}" || got.Merge().Best() != 10 || !got.Deadline().Equal(now.Add(80*time.Millisecond)) {
		t.Errorf("got %+v", got)
	}
}

func TestDecodeQueryDefaults(t *testing.T) {
	t.Parallel()
	got, err := DecodeQuery(JSON, []byte(`{"group":"g","services":null,"ticket":null}`), now)
	if err != nil {
		t.Fatal(err)
	}
	if !got.Deadline().IsZero() || got.Once() || got.Merge() != magnoliashore.MergeAll() || !got.Ticket().IsZero() {
		t.Errorf("got %+v", got)
	}
}

func TestDecodeQueryReturnsIDWithError(t *testing.T) {
	t.Parallel()
	got, err := DecodeQuery(JSON, []byte(`{"deadline":0,"id":"q9","group":"g"}`), now)
	if err == nil || got.ID() != "q9" {
		t.Errorf("got id %q and error %v", got.ID(), err)
	}
}

func fullAnswer() magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:      "q1",
		Outcome:    magnoliashore.OutcomeRan,
		Reason:     magnoliashore.ReasonDeadline,
		Detail:     "1 partition <late> & missing",
		RetryAfter: 20 * time.Millisecond,
		Snapshot:   1 << 63,
		Coverage: magnoliashore.NewCoverage(1, 2,
			[]magnoliashore.Miss{magnoliashore.NewMiss("look7", magnoliashore.ReasonDeadline)},
			[]magnoliashore.ZoneCoverage{magnoliashore.NewZoneCoverage("a", 1, 2)}),
		Parts: []magnoliashore.Part{magnoliashore.NewPart("look1", "look1a", []byte{0, 255})},
		Items: []magnoliashore.Item{
			magnoliashore.NewItem(1.5, "look1", []byte(`{"page":12345678901234567890123,"b":"<x>"}`)),
			magnoliashore.NewItem(-1, "look1", []byte(`null`)),
		},
		Subs: 3,
		Host: "e1",
	})
}

func TestAnswerRoundTrip(t *testing.T) {
	t.Parallel()
	for _, format := range formats() {
		data, err := EncodeAnswer(format, fullAnswer())
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeAnswer(format, data)
		if err != nil {
			t.Fatal(err)
		}
		if want := fullAnswer(); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v\nwant %+v", got, want)
		}
	}
}

func TestAnswerJSON(t *testing.T) {
	t.Parallel()
	got, err := EncodeAnswer(JSON, fullAnswer())
	if err != nil {
		t.Fatal(err)
	}
	want := `{"id":"q1","outcome":"ran","reason":"deadline","detail":"1 partition <late> & missing","after":20,` +
		`"snapshot":9223372036854775808,"host":"e1","subs":3,` +
		`"coverage":{"covered":1,"total":2,"missing":[{"partition":"look7","reason":"deadline"}],` +
		`"zones":[{"zone":"a","covered":1,"total":2}]},` +
		`"parts":[{"partition":"look1","target":"look1a","body":"AP8="}],` +
		`"items":[{"score":1.5,"partition":"look1","item":{"page":12345678901234567890123,"b":"<x>"}},` +
		`{"score":-1,"partition":"look1","item":null}]}` + "\n"
	if string(got) != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
}

func TestEncodeAnswerRefusesItemThatIsNotJSON(t *testing.T) {
	t.Parallel()
	answer := magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Items: []magnoliashore.Item{magnoliashore.NewItem(1, "p", []byte("{"))},
	})
	if data, err := EncodeAnswer(JSON, answer); err == nil {
		t.Errorf("JSON: got %s, want an error", data)
	}
	if data, err := EncodeAnswer(CBOR, answer); err == nil {
		t.Errorf("CBOR: got %x, want an error", data)
	}
}

func TestEntriesRoundTrip(t *testing.T) {
	t.Parallel()
	want := magnoliashore.NewEntries([]magnoliashore.Entry{
		magnoliashore.NewEntry("e1", 17, 2, "a", "127.0.0.1:7001"),
	}, 3*time.Second)
	for _, format := range formats() {
		data, err := EncodeEntries(format, want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeEntries(format, data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v\nwant %+v", got, want)
		}
	}
}

func TestNegotiateFormat(t *testing.T) {
	t.Parallel()
	cases := map[string]Format{
		"":                 JSON,
		"*/*":              JSON,
		"application/cbor": CBOR,
		"application/json, application/cbor;q=0.5": JSON,
		"application/json;q=0.5, application/cbor": CBOR,
		"application/cbor;q=0":                     JSON,
		"text/html":                                JSON,
	}
	for header, want := range cases {
		if got := NegotiateFormat(header); got != want {
			t.Errorf("%q: got %v, want %v", header, got, want)
		}
	}
}

func FuzzDecodeQueryJSON(f *testing.F) {
	f.Add([]byte(`{"group":"g","body":"e30=","deadline":80,"once":true,"ticket":{"host":"e","incarnation":1,"epoch":1,"id":"x"}}`))
	f.Add([]byte(`{"group":"g","merge":"best","best":3,"services":["a"]} `))
	f.Add([]byte(`{"group":"\ud800","deadline":1e1}`))
	f.Fuzz(func(t *testing.T, data []byte) { checkRoundTrip(t, JSON, data) })
}

func FuzzDecodeQueryCBOR(f *testing.F) {
	for _, query := range []magnoliashore.Query{fullQuery(), magnoliashore.NewQuery(magnoliashore.QuerySpec{Group: "g"})} {
		data, err := EncodeQuery(CBOR, query, now)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkRoundTrip(t, CBOR, data) })
}

// checkRoundTrip checks that a query which decodes does not change when it is
// encoded and decoded again in either format.
func checkRoundTrip(t *testing.T, format Format, data []byte) {
	t.Helper()
	first, err := DecodeQuery(format, data, now)
	if err != nil {
		var requestErr *RequestError
		if !errors.As(err, &requestErr) {
			t.Fatalf("got %v, want a RequestError", err)
		}
		return
	}
	for _, other := range formats() {
		encoded, err := EncodeQuery(other, first, now)
		if err != nil {
			t.Fatal(err)
		}
		second, err := DecodeQuery(other, encoded, now)
		if err != nil {
			t.Fatalf("the encoded query is refused: %v", err)
		}
		if !bytes.Equal(first.Body(), second.Body()) || !sameQuery(first, second) {
			t.Errorf("got %+v\nwant %+v", second, first)
		}
	}
}

func sameQuery(a, b magnoliashore.Query) bool {
	return a.ID() == b.ID() && a.Group() == b.Group() && a.Deadline().Equal(b.Deadline()) &&
		a.Once() == b.Once() && a.Ticket() == b.Ticket() && a.Merge() == b.Merge() &&
		reflect.DeepEqual(a.Services(), b.Services())
}
