package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/suspect"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func digest(uri string) suspect.Digest {
	return suspect.Sum(suspect.Request{Method: "GET", Host: "h", URI: uri})
}

func TestDigestsTellRequestsApart(t *testing.T) {
	t.Parallel()
	base := suspect.Request{Method: "POST", Host: "h", URI: "/a", Identity: "u", Body: []byte("b")}
	same := base
	same.Host = "H"
	if got, want := suspect.Sum(same), suspect.Sum(base); got != want {
		t.Errorf("got digest %s for a host in capitals, want %s", got, want)
	}
	others := []suspect.Request{
		{Method: "GET", Host: "h", URI: "/a", Identity: "u", Body: []byte("b")},
		{Method: "POST", Host: "x", URI: "/a", Identity: "u", Body: []byte("b")},
		{Method: "POST", Host: "h", URI: "/au", Body: []byte("b")},
		{Method: "POST", Host: "h", URI: "/a", Identity: "v", Body: []byte("b")},
		{Method: "POST", Host: "h", URI: "/a", Identity: "ub"},
		{Method: "POST", Host: "h", URI: "/a", Identity: "u", Body: []byte("b"), Rest: 5},
	}
	seen := map[suspect.Digest]int{suspect.Sum(base): -1}
	for i, r := range others {
		d := suspect.Sum(r)
		if j, ok := seen[d]; ok {
			t.Errorf("got the same digest for requests %d and %d, want others", i, j)
		}
		seen[d] = i
	}
}

// TestRulings plays ends and completions and checks the rulings between them.
func TestRulings(t *testing.T) {
	t.Parallel()
	type step struct {
		at       float64
		end      string // target that ends under the request
		complete bool
		want     suspect.Verdict // afterwards
		trial    bool
	}
	const innocent, suspected, refused = suspect.Innocent, suspect.Suspect, suspect.Refused
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"three targets", []step{{0, "a", false, suspected, false}, {1, "b", false, suspected, false}, {2, "c", false, refused, false}}},
		{"several reports on one target", []step{{0, "a", false, suspected, false}, {0.1, "a", false, suspected, false}, {0.2, "a", false, suspected, false}}},
		{"one ID that starts again", []step{{0, "a", false, suspected, false}, {4, "a", false, suspected, false}, {8, "a", false, refused, false}}},
		{"completed in between", []step{{0, "a", false, suspected, false}, {1, "b", false, suspected, false}, {2, "", true, innocent, false}, {3, "c", false, suspected, false}}},
		{"completed after the verdict", []step{{0, "a", false, suspected, false}, {1, "b", false, suspected, false}, {2, "c", false, refused, false}, {3, "", true, innocent, false}}},
		{"trials further and further apart", []step{
			{0, "a", false, suspected, false}, {1, "b", false, suspected, false}, {2, "c", false, refused, false},
			{6.9, "", false, refused, false}, {7.1, "", false, suspected, true}, {7.2, "", false, refused, false},
			{7.3, "d", false, refused, false}, {27, "", false, refused, false}, {27.5, "", false, suspected, true},
			{28, "e", false, refused, false}, {107, "", false, refused, false}, {108.5, "", false, suspected, true},
		}},
		{"ends of requests in flight are no trials", []step{
			{0, "a", false, suspected, false}, {0, "b", false, suspected, false}, {0, "c", false, refused, false}, {1, "d", false, refused, false},
			{2, "e", false, refused, false}, {7.1, "", false, suspected, true},
		}},
		{"suspicion lapses", []step{{0, "a", false, suspected, false}, {1, "b", false, suspected, false}, {70, "", false, innocent, false}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var table suspect.Table
			d := digest("/x")
			for _, s := range test.steps {
				table.Expire(at(s.at))
				if s.end != "" {
					table.Ended(at(s.at), d, magnoliashore.TargetID(s.end), 0)
				}
				if s.complete {
					table.Completed(at(s.at), d)
				}
				got := table.Rule(at(s.at), d, 0)
				if got.Verdict != s.want || got.Trial != s.trial {
					t.Errorf("at %.1f s: got %+v, want verdict %d (trial %t)", s.at, got, s.want, s.trial)
				}
				if got.Verdict == refused && got.After <= 0 {
					t.Errorf("at %.1f s: got a refusal without a time to come back, want one", s.at)
				}
			}
		})
	}
}

// TestTablesAgree merges the records of several hosts in any order: all rule alike.
func TestTablesAgree(t *testing.T) {
	t.Parallel()
	d := digest("/x")
	records := []suspect.Record{
		{Digest: d, Ends: []suspect.End{{Target: "a", At: at(0)}}},
		{Digest: d, Cleared: at(0.5)},
		{Digest: d, Ends: []suspect.End{{Target: "b", At: at(1)}}},
		{Digest: d, Ends: []suspect.End{{Target: "c", At: at(2)}, {Target: "e", At: at(4)}}},
	}
	for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {2, 0, 3, 1}, {1, 3, 0, 2}} {
		var table suspect.Table
		for _, i := range order {
			table.Merge(at(5), records[i])
		}
		for _, i := range order {
			if table.Merge(at(5), records[i]) {
				t.Errorf("order %v: got a change from record %d, which was known, want none", order, i)
			}
		}
		if got := table.Rule(at(5), d, 0); got.Verdict != suspect.Refused || got.Ends != 3 {
			t.Errorf("order %v: got %+v, want the request refused for three ends", order, got)
		}
	}
}

// TestTableIsBounded fills a table with many digests: requests that are refused
// stay.
func TestTableIsBounded(t *testing.T) {
	t.Parallel()
	const digests, limit = 5000, 1024
	var table suspect.Table
	poison := digest("/poison")
	for _, target := range []magnoliashore.TargetID{"a", "b", "c"} {
		table.Ended(at(0), poison, target, 0)
	}
	for i := range digests {
		table.Ended(at(1), digest(fmt.Sprint(i)), "d", 0)
	}
	if got := table.Len(); got > limit {
		t.Errorf("got %d digests, want %d at most", got, limit)
	}
	if got := table.Rule(at(2), poison, 0).Verdict; got != suspect.Refused {
		t.Errorf("got verdict %d for the request that ended three targets, want it refused", got)
	}
}

// TestManyEndsSettle guards against hosts that tell each other for ever about ends
// that their tables do not keep.
func TestManyEndsSettle(t *testing.T) {
	t.Parallel()
	d := digest("/x")
	var table suspect.Table
	record := suspect.Record{Digest: d}
	for i := range 20 {
		record.Ends = append(record.Ends, suspect.End{Target: magnoliashore.TargetID(fmt.Sprint(i)), At: at(float64(i))})
	}
	table.Merge(at(30), record)
	if table.Merge(at(30), record) {
		t.Error("got a change from a record that was known, want none")
	}
}

// TestTrialIsToldToOthers guards against two hosts that try a refused request at the
// same time.
func TestTrialIsToldToOthers(t *testing.T) {
	t.Parallel()
	d := digest("/x")
	var first, second suspect.Table
	for i, target := range []magnoliashore.TargetID{"a", "b", "c"} {
		first.Ended(at(float64(i)), d, target, 0)
		second.Ended(at(float64(i)), d, target, 0)
	}
	if got := first.Rule(at(8), d, 0); !got.Trial {
		t.Fatalf("got %+v, want a trial", got)
	}
	record, _ := first.Record(d)
	if !second.Merge(at(8.01), record) {
		t.Error("got no news from a host that tries the request, want some")
	}
	if got := second.Rule(at(9), d, 1); got.Verdict != suspect.Refused {
		t.Errorf("got %+v during the trial of another host, want the request refused", got)
	}
	if got := second.Rule(at(19), d, 1); !got.Trial {
		t.Errorf("got %+v long after a trial without an outcome, want another one", got)
	}
}

// TestLateReportsAreNoNews guards against hosts that tell each other again and again
// about an end and a clearance, since each takes the time of a datagram for that of
// the event, and against one end that counts twice.
func TestLateReportsAreNoNews(t *testing.T) {
	t.Parallel()
	const life = 7
	d := digest("/x")
	end := func(seconds float64) suspect.Record {
		return suspect.Record{Digest: d, Ends: []suspect.End{{Target: "a", Process: life, At: at(seconds)}}}
	}
	for _, test := range []struct {
		name    string
		records []suspect.Record
		want    int // ends known afterwards
		news    int
	}{
		{"an end told later than it was cleared", []suspect.Record{end(0), {Digest: d, Cleared: at(0.01)}, end(0.3)}, 0, 2},
		{"a clearance told twice", []suspect.Record{end(0), {Digest: d, Cleared: at(0.01)}, {Digest: d, Cleared: at(0.3)}}, 0, 2},
		{"an end told to a suspended host", []suspect.Record{end(0), end(5)}, 1, 1},
		{"another life of the target", []suspect.Record{end(0), {Digest: d, Ends: []suspect.End{{Target: "a", Process: life + 1, At: at(1)}}}}, 2, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var table suspect.Table
			news := 0
			for _, r := range test.records {
				if table.Merge(at(6), r) {
					news++
				}
			}
			if got := table.Ends(d, nil); got != test.want {
				t.Errorf("got %d ends, want %d", got, test.want)
			}
			if news != test.news {
				t.Errorf("got %d records with news, want %d", news, test.news)
			}
		})
	}
}
