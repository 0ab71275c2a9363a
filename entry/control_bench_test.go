package entry_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/local"
	"github.com/magnoliashore/magnoliashore/standin"
)

// idleTime is how long an idle cell is observed.
const idleTime = 6 * time.Second

// BenchmarkControlIdle measures what control costs one entry host of an idle
// cell: bytes a second each way, share of a core, and memory. The stand-ins
// run in the same process and are counted in.
func BenchmarkControlIdle(b *testing.B) {
	for _, size := range []struct {
		seats int
		scale float64
	}{{2, 0.5}, {4, 0.5}, {8, 0.1}, {8, 0.5}, {8, 1}, {9, 1}} {
		cell := &local.Cell{Shape: standin.Kovacic(size.scale), Hosts: size.seats}
		b.Run(fmt.Sprintf("seats=%d/targets=%d", size.seats, len(cell.Shape.Targets())), func(b *testing.B) {
			if err := cell.Start(context.Background()); err != nil {
				b.Fatal(err)
			}
			for range b.N {
				observe(b, cell)
			}
			if err := cell.Stop(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

func observe(b *testing.B, cell *local.Cell) {
	b.Helper()
	sent, received := traffic(cell)
	before := cpuTime(b)
	time.Sleep(idleTime)
	used := cpuTime(b) - before
	sentAfter, receivedAfter := traffic(cell)
	nodes := float64(len(cell.EntryHosts()))
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(sentAfter-sent)/idleTime.Seconds()/nodes, "out-B/s")
	b.ReportMetric(float64(receivedAfter-received)/idleTime.Seconds()/nodes, "in-B/s")
	b.ReportMetric(100*used.Seconds()/idleTime.Seconds()/nodes, "cpu-%")
	b.ReportMetric(float64(memory.HeapInuse)/nodes/(1<<20), "heap-MB")
	b.ReportMetric(0, "ns/op")
}

func traffic(cell *local.Cell) (sent, received uint64) {
	for _, h := range cell.EntryHosts() {
		sent += h.Traffic().Sent()
		received += h.Traffic().Received()
	}
	return sent, received
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
