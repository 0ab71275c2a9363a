package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/membership"
)

// BenchmarkIdle reports what one host sends, in bytes a second without the
// headers of datagrams, when nothing changes.
func BenchmarkIdle(b *testing.B) {
	for _, hosts := range []int{8, 60, 300} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			w := newWorld(1, hosts)
			w.run(20 * time.Second) // between two lists of members
			w.weighed = true
			const span = 4 * time.Second
			b.ResetTimer()
			for range b.N {
				w.sent, w.packets = 0, 0
				w.run(span)
			}
			b.ReportMetric(float64(w.sent)/span.Seconds()/float64(hosts), "B/s/host")
			b.ReportMetric(float64(w.packets)/span.Seconds()/float64(hosts), "datagrams/s/host")
			if got := len(w.serving(address(1))); got != hosts {
				b.Errorf("got %d hosts known, want %d", got, hosts)
			}
		})
	}
}

// weigh counts the bytes of what a host sends.
func (w *world) weigh(from string, packets []membership.Packet) {
	if !w.weighed {
		return
	}
	for _, p := range packets {
		data, err := membership.Encode(p.Message)
		if err == nil {
			w.sent += len(data)
			if zoneOf(from) != zoneOf(p.To) {
				w.across += len(data)
			}
			w.packets++
		}
	}
}
