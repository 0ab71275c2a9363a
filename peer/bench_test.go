package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	benchQueryBytes  = 128
	benchAnswerBytes = 256
	benchSeats       = 8
	benchKeys        = 15
)

// BenchmarkBatch measures a batch: the sub-requests of one query to one owner.
func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{1, 15, 20} {
		benchmarkCodec(b, fmt.Sprintf("subs=%d", n), benchBatch(n))
	}
}

// BenchmarkAnswers measures the answers to such a batch.
func BenchmarkAnswers(b *testing.B) {
	for _, n := range []int{1, 15, 20} {
		benchmarkCodec(b, fmt.Sprintf("subs=%d", n), benchAnswers(n))
	}
}

// BenchmarkHeartbeat measures a heartbeat in steady state, which leaves out the
// fields that equal those of the one before.
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkCodec(b, fmt.Sprintf("keys=%d", benchKeys), benchHeartbeat())
}

// benchmarkCodec measures a message on a connection that has carried an equal one
// before.
func benchmarkCodec(b *testing.B, name string, message any) {
	codec, err := NewCodec(&timer.Service{})
	if err != nil {
		b.Fatal(err)
	}
	var sent, received deltaState
	first, err := codec.encode(nil, message, &sent)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := codec.decode(first, &received); err != nil {
		b.Fatal(err)
	}
	frame, err := codec.encode(nil, message, &sent)
	if err != nil {
		b.Fatal(err)
	}
	b.Run(name+"/encode", func(b *testing.B) {
		var buffer []byte
		b.ReportAllocs()
		for b.Loop() {
			out, err := codec.encode(buffer, message, &sent)
			if err != nil {
				b.Fatal(err)
			}
			buffer = reusable(out)
		}
		b.ReportMetric(float64(len(frame)), "frame-B")
	})
	b.Run(name+"/decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := codec.decode(frame, &received); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func benchBatch(n int) Batch {
	batch := Batch{Order: 1000}
	body := make([]byte, benchQueryBytes)
	for i := range n {
		batch.Subs = append(batch.Subs, magnoliashore.NewSub(magnoliashore.SubSpec{
			ID: uint64(100_000 + i), Query: "e1-1764800000000-100000",
			Partition: magnoliashore.PartitionID(fmt.Sprintf("look%02d", i)),
			Target:    magnoliashore.TargetID(fmt.Sprintf("look%02da", i)),
			Snapshot:  1, Deadline: time.Now().Add(time.Hour), Body: body,
		}))
	}
	return batch
}

func benchAnswers(n int) Answers {
	answers := Answers{Order: 1000}
	load := magnoliashore.NewLoad(1, 2, 3, false, 8*time.Millisecond)
	for i := range n {
		answers.List = append(answers.List, magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
			ID:        uint64(100_000 + i),
			Partition: magnoliashore.PartitionID(fmt.Sprintf("look%02d", i)),
			Target:    magnoliashore.TargetID(fmt.Sprintf("look%02da", i)),
			Snapshot:  1, Outcome: magnoliashore.OutcomeRan, Body: make([]byte, benchAnswerBytes), Load: load,
		}))
	}
	return answers
}

func benchHeartbeat() Heartbeat {
	heartbeat := Heartbeat{
		Info: Info{
			Host: "e1", Incarnation: 1_764_800_000_000, Epoch: 3, Order: 1000, Ready: true,
			Versions: []KeyVersion{{Key: "table/ljubljana", Version: 7}, {Key: "layout/ljubljana", Version: 9}},
		},
		Request: lease.Request{From: "e1", Incarnation: 1_764_800_000_000, Sequence: 1000, RosterHash: 1 << 60},
	}
	for i := range benchSeats {
		heartbeat.Request.View = append(heartbeat.Request.View, lease.HostIncarnation{
			Host: magnoliashore.HostID(fmt.Sprintf("e%d", i+1)), Incarnation: 1_764_800_000_000,
		})
	}
	for i := range benchKeys {
		heartbeat.Request.Keys = append(heartbeat.Request.Keys, lease.Key(1<<31+i))
	}
	return heartbeat
}
