package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/membership"
)

// BenchmarkIdle measures what one host sends while nothing changes, in bytes a
// second without datagram headers.
func BenchmarkIdle(b *testing.B) {
	for _, hosts := range []int{8, 60, 300} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			c := newCluster(1, hosts)
			// The measured span lies between two requests for the list of members.
			c.run(20 * time.Second)
			c.counting = true
			const span = 4 * time.Second
			b.ResetTimer()
			for range b.N {
				c.sentBytes, c.packets = 0, 0
				c.run(span)
			}
			b.ReportMetric(float64(c.sentBytes)/span.Seconds()/float64(hosts), "B/s/host")
			b.ReportMetric(float64(c.packets)/span.Seconds()/float64(hosts), "datagrams/s/host")
			if got := len(c.serving(address(1))); got != hosts {
				b.Errorf("got %d members, want %d", got, hosts)
			}
		})
	}
}

// countBytes counts the encoded bytes that a host sends.
func (c *cluster) countBytes(from string, packets []membership.Packet) {
	if !c.counting {
		return
	}
	for _, p := range packets {
		data, err := membership.Encode(p.Message)
		if err == nil {
			c.sentBytes += len(data)
			if zoneOf(from) != zoneOf(p.To) {
				c.crossZoneBytes += len(data)
			}
			c.packets++
		}
	}
}
