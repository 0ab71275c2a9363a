package entry_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/magnoliashore/magnoliashore"
)

// benchRuns is the number of runs per figure, to obtain a median and spread.
const benchRuns = 5

// BenchmarkQuery measures the cost of a query on the entry hosts of a cell, which
// all run in this process, with targets that answer immediately. The queries go to
// the hosts in turn. With one owner every sub-request stays on the coordinator.
// Otherwise the links between the hosts run over loopback.
func BenchmarkQuery(b *testing.B) {
	for _, fanout := range []int{20, 120} {
		for _, owners := range []int{1, 3, 8} {
			b.Run(fmt.Sprintf("fanout=%d/owners=%d", fanout, owners), func(b *testing.B) {
				w := &benchCell{fanout: fanout, owners: owners}
				w.start(b)
				for range benchRuns {
					b.Run("run", w.benchQueries)
				}
			})
		}
	}
}

func (w *benchCell) benchQueries(b *testing.B) {
	var next atomic.Uint64
	b.ReportAllocs()
	before := cpuTime(b)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			h := w.hosts[next.Add(1)%uint64(len(w.hosts))]
			if got := w.query(h); !got.Coverage().Complete() {
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

// BenchmarkOwnerSub measures the cost of a sub-request on the owner of its target,
// from the decoded batch to the answer that is ready to be written.
func BenchmarkOwnerSub(b *testing.B) {
	w := &benchCell{fanout: 120, owners: 1}
	w.start(b)
	for range benchRuns {
		b.Run("run", w.benchSubs)
	}
}

func (w *benchCell) benchSubs(b *testing.B) {
	h := w.hosts[0]
	targets := w.layout().Targets()
	deadline := w.clock.Now().Add(startTimeout)
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
				Partition: magnoliashore.PartitionID(targets[i].Service()), Snapshot: benchSnapshot, Deadline: deadline,
			}), func(magnoliashore.SubAnswer) { group.Done() })
		}
		group.Wait()
		sent += batch
	}
	b.StopTimer()
	used := (cpuTime(b) - before).Seconds() / float64(b.N)
	b.ReportMetric(used*1e6, "cpu-us/sub")
}
