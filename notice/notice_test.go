package notice_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/notice"
	"github.com/magnoliashore/magnoliashore/quota"
	"github.com/magnoliashore/magnoliashore/suspect"
)

var now = time.Unix(1000, 0)

func TestMessageSurvivesEncoding(t *testing.T) {
	t.Parallel()
	want := notice.Message{
		From:    "10.0.0.1:7004",
		Reports: []quota.Report{{Target: "t1", Rate: 14.8, Demand: 3.5, Share: 2, Left: 1500 * time.Millisecond}},
		Grants:  []quota.Grant{{Target: "t2", Share: 0.25, Term: 2 * time.Second}},
		Records: []suspect.Record{
			{Digest: suspect.Digest{1, 2}, Ends: []suspect.End{{Target: "t3", Process: 5, At: now.Add(-3 * time.Second)}}},
			{Digest: suspect.Digest{3}, Cleared: now.Add(-time.Second), Tried: now.Add(-4 * time.Second)},
		},
		Ask:     true,
		Tests:   []notice.Test{{Number: 7, Targets: []magnoliashore.TargetID{"t1", "t4"}}},
		Results: []notice.TestResult{{Number: 6, Reached: 3}},
	}
	data, err := notice.Encode(now, want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := notice.Decode(now, data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestInvalidMessages(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]notice.Message{
		"negative demand":  {Reports: []quota.Report{{Target: "t", Demand: -1}}},
		"infinite rate":    {Reports: []quota.Report{{Target: "t", Rate: math.Inf(1)}}},
		"share not a rate": {Grants: []quota.Grant{{Target: "t", Share: math.NaN()}}},
		"too many":         {Grants: make([]quota.Grant, 100)},
		"too many records": {Records: make([]suspect.Record, 100)},
		"too many tests":   {Tests: make([]notice.Test, 100)},
		"too many targets": {Tests: []notice.Test{{Targets: make([]magnoliashore.TargetID, 100)}}},
		"too many ends":    {Records: []suspect.Record{{Ends: make([]suspect.End, 100)}}},
	} {
		data, err := notice.Encode(now, m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := notice.Decode(now, data); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := notice.Encode(now, notice.Message{From: "10.0.0.1:7004", Grants: []quota.Grant{{Target: "t", Share: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := notice.Decode(now, data)
		if err != nil {
			return
		}
		if _, err := notice.Encode(now, m); err != nil {
			t.Errorf("got error %v for a decoded message, want none", err)
		}
	})
}
