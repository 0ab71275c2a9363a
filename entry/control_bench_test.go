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

// observeTime is how long an idle cell is measured.
const observeTime = 6 * time.Second

// BenchmarkControlIdle measures the cost of control traffic for one entry host of
// an idle cell: bytes per second in each direction, CPU share and memory. The
// stand-in targets run in the same process and are included in the figures.
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
	time.Sleep(observeTime)
	cpuUsed := cpuTime(b) - before
	sentAfter, receivedAfter := traffic(cell)
	nodes := float64(len(cell.EntryHosts()))
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(sentAfter-sent)/observeTime.Seconds()/nodes, "out-B/s")
	b.ReportMetric(float64(receivedAfter-received)/observeTime.Seconds()/nodes, "in-B/s")
	b.ReportMetric(100*cpuUsed.Seconds()/observeTime.Seconds()/nodes, "cpu-%")
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
