package entry_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/magnoliashore/magnoliashore"
)

// benchRuns is how often each figure is taken, for its median and spread.
const benchRuns = 5

// BenchmarkQuery measures what a query costs the entry hosts of a cell, all in
// this process, with targets that answer at once. The queries go to the hosts
// in turn. With one owner every sub-request stays on the host that was asked;
// otherwise the links between the hosts run over loopback.
func BenchmarkQuery(b *testing.B) {
	for _, fanout := range []int{20, 120} {
		for _, owners := range []int{1, 3, 8} {
			b.Run(fmt.Sprintf("fanout=%d/owners=%d", fanout, owners), func(b *testing.B) {
				w := &wide{fanout: fanout, owners: owners}
				w.start(b)
				for range benchRuns {
					b.Run("run", w.queries)
				}
			})
		}
	}
}

func (w *wide) queries(b *testing.B) {
	var next atomic.Uint64
	b.ReportAllocs()
	before := cpuTime(b)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			h := w.hosts[next.Add(1)%uint64(len(w.hosts))]
			if got := w.ask(h); !got.Coverage().Complete() {
				b.Errorf("got %d of %d partitions (%s), want all",
					got.Coverage().Covered(), got.Coverage().Total(), got.Detail())
			}
		}
	})
	b.StopTimer()
	used := (cpuTime(b) - before).Seconds() / float64(b.N)
	b.ReportMetric(used*1e6, "cpu-us/query")
	b.ReportMetric(1/used, "queries/s/core")
}

// BenchmarkOwnerSub measures what a sub-request costs the owner of its target,
// from the batch that was read to the answer that is ready to be written.
func BenchmarkOwnerSub(b *testing.B) {
	w := &wide{fanout: 120, owners: 1}
	w.start(b)
	for range benchRuns {
		b.Run("run", w.subs)
	}
}

func (w *wide) subs(b *testing.B) {
	h := w.hosts[0]
	targets := w.layout().Targets()
	deadline := w.clock.Now().Add(wideStart)
	b.ReportAllocs()
	before := cpuTime(b)
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		batch := min(len(targets), b.N-sent)
		var group sync.WaitGroup
		group.Add(batch)
		for i := range batch {
			h.SubmitSub(magnoliashore.NewSub(magnoliashore.SubSpec{
				ID: uint64(sent + i + 1), Target: targets[i].ID(),
				Partition: magnoliashore.PartitionID(targets[i].Service()), Snapshot: wideSnapshot, Deadline: deadline,
			}), func(magnoliashore.SubAnswer) { group.Done() })
		}
		group.Wait()
		sent += batch
	}
	b.StopTimer()
	used := (cpuTime(b) - before).Seconds() / float64(b.N)
	b.ReportMetric(used*1e6, "cpu-us/sub")
}
