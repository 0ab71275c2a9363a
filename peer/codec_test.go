package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
	"github.com/magnoliashore/magnoliashore/timer"
)

// fixed is a clock that always returns the same time.
type fixed struct{ at time.Time }

func (f fixed) Now() time.Time { return f.at }

func newTestCodec(t testing.TB) *Codec {
	t.Helper()
	codec, err := NewCodec(fixed{time.UnixMicro(1_800_000_000_000_000)})
	if err != nil {
		t.Fatalf("codec: got error %v, want none", err)
	}
	return codec
}

func testInfo() Info {
	return Info{
		Host: "e1", Incarnation: 7, Epoch: 2, Order: 99, Leaving: true, Ready: true, Queries: 3,
		Versions: []KeyVersion{{Key: "cells/x/table", Version: 4}},
		ReadAge:  20 * time.Millisecond, HostsHash: 5, HostsAge: -time.Millisecond,
	}
}

// messages returns one message of each kind.
func messages(now time.Time) []any {
	info := testInfo()
	view := []lease.HostIncarnation{{Host: "e1", Incarnation: 7}, {Host: "e2", Incarnation: 8}}
	sub := magnoliashore.NewSub(magnoliashore.SubSpec{
		ID: 1, Query: "q", Partition: "p", Target: "t", Snapshot: 3,
		Deadline: now.Add(80 * time.Millisecond), Once: true, Body: []byte("{}"),
	})
	answer := magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
		ID: 1, Partition: "p", Target: "t", Snapshot: 3, Outcome: magnoliashore.OutcomeNotRun,
		Reason: magnoliashore.ReasonBusy, RetryAfter: time.Millisecond, Body: []byte{},
		Load: magnoliashore.NewLoad(1, 2, 3, true, time.Millisecond),
	})
	hosts := magnoliashore.NewHostList([]string{"a"}, []string{"b"})
	query := magnoliashore.NewQuery(magnoliashore.QuerySpec{
		ID: "q", Group: "g", Services: []magnoliashore.ServiceName{"s"}, Body: []byte("{}"),
		Deadline: now.Add(time.Second), Once: true, Ticket: magnoliashore.NewTicket("e2", 8, 1, "x"),
		Merge: magnoliashore.MergeBest(4),
	})
	full := magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query: "q", Outcome: magnoliashore.OutcomeRan, Reason: magnoliashore.ReasonDeadline, Detail: "d",
		RetryAfter: time.Millisecond, Snapshot: 3, Subs: 2, Host: "e2",
		Coverage: magnoliashore.NewCoverage(1, 2,
			[]magnoliashore.Miss{magnoliashore.NewMiss("p2", magnoliashore.ReasonDeadline)},
			[]magnoliashore.ZoneCoverage{magnoliashore.NewZoneCoverage("a", 1, 2)}),
		Parts: []magnoliashore.Part{magnoliashore.NewPart("p", "t", []byte("1"))},
		Items: []magnoliashore.Item{magnoliashore.NewItem(1.5, "p", []byte("2"))},
	})
	return []any{
		Heartbeat{Info: info, Request: lease.Request{
			From: "e1", Incarnation: 7, Sequence: 12, RosterHash: 13, View: view,
			Keys: []lease.Key{1, 2}, Release: []lease.Key{3},
		}},
		HeartbeatReply{Info: info, Reply: lease.Reply{
			From: "e1", Incarnation: 7, Sequence: 12, View: view, Granted: []lease.Key{1}, Recorded: true, Settled: true,
		}},
		Batch{Order: 5, Subs: []magnoliashore.Sub{sub}},
		Answers{Order: 6, List: []magnoliashore.SubAnswer{answer}},
		Cancel{IDs: []uint64{1, 2}},
		Fetch{Versions: info.Versions, Hosts: true},
		Values{
			List:  []magnoliashore.Value{magnoliashore.NewValue("k", 2, []byte("v"))},
			Hosts: &hosts, HostsAge: time.Millisecond,
		},
		Forward{ID: 3, Query: query},
		Forwarded{ID: 3, Answer: full},
	}
}

func TestCodecRoundTrip(t *testing.T) {
	t.Parallel()
	codec := newTestCodec(t)
	var sent, received deltaState
	for range 2 { // the second round leaves out repeated fields
		for _, want := range messages(codec.Clock.Now()) {
			frame, err := codec.encode(nil, want, &sent)
			if err != nil {
				t.Fatalf("encode %T: got error %v, want none", want, err)
			}
			got, err := codec.decode(frame, &received)
			if err != nil {
				t.Fatalf("decode %T: got error %v, want none", want, err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%T: got %+v, want %+v", want, got, want)
			}
		}
	}
}

func TestCodecOmitsRepeatedFields(t *testing.T) {
	t.Parallel()
	codec := newTestCodec(t)
	var sent deltaState
	heartbeat := messages(codec.Clock.Now())[0]
	first, _ := codec.encode(nil, heartbeat, &sent)
	second, _ := codec.encode(nil, heartbeat, &sent)
	if got, limit := len(second), len(first)*2/3; got > limit {
		t.Errorf("second heartbeat: got %d bytes, want at most %d", got, limit)
	}
}

func TestCodecRejectsMalformedFrames(t *testing.T) {
	t.Parallel()
	codec := newTestCodec(t)
	for name, frame := range map[string][]byte{
		"empty":        {},
		"unknown kind": {77, 0x80},
		"not CBOR":     {kindBatch, 0xff},
		"short array":  {kindBatch, 0x81, 0x01},
		"trailing":     {kindCancel, 0x81, 0x80, 0x00},
	} {
		if got, err := codec.decode(frame, &deltaState{}); err == nil {
			t.Errorf("%s: got %+v, want an error", name, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	codec, err := NewCodec(&timer.Service{})
	if err != nil {
		f.Fatal(err)
	}
	for _, message := range messages(codec.Clock.Now()) {
		frame, err := codec.encode(nil, message, &deltaState{})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, err := codec.decode(bytes.Clone(frame), &deltaState{})
		if err != nil {
			return
		}
		if _, err := codec.encode(nil, message, &deltaState{}); err != nil {
			t.Errorf("encode decoded %T: got error %v, want none", message, err)
		}
	})
}
