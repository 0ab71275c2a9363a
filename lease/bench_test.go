package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// BenchmarkTick measures one heartbeat of one node in a cell of 8 seats that
// has the lease on every key it wants: its request, the replies of the 7 other
// nodes, and the processing of these.
func BenchmarkTick(b *testing.B) {
	const seats = 8
	for _, keys := range []int{7, 15, 60} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			nodes, now := benchNodes(seats, keys)
			for range 3 {
				for i := range nodes {
					benchTick(nodes, i, now)
				}
				now = now.Add(time.Second / 2)
			}
			if _, ok := nodes[0].Until(now, 1); !ok {
				b.Fatal("the node has no lease, want one")
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second / 2)
				benchTick(nodes, 0, now)
			}
			if _, ok := nodes[0].Until(now, 1); !ok {
				b.Fatal("the node lost its lease, want one")
			}
		})
	}
}

// benchNodes returns settled nodes that each want their own keys, and the
// current time.
func benchNodes(seats, keys int) ([]*Node, time.Time) {
	hosts := make([]magnoliashore.HostID, 0, seats)
	for i := range seats {
		hosts = append(hosts, hostName(i))
	}
	nodes := make([]*Node, 0, seats)
	for i, host := range hosts {
		node := New(Config{
			Self: host, Incarnation: magnoliashore.Incarnation(i + 1),
			Term: 3 * time.Second, Margin: testMargin, Roster: NewRoster(hosts, nil),
		}, epoch)
		wanted := make([]Key, 0, keys)
		for k := range keys {
			wanted = append(wanted, Key(i*keys+k+1))
		}
		node.SetWanted(epoch, wanted)
		nodes = append(nodes, node)
	}
	now := epoch
	for range 30 {
		for i := range nodes {
			benchTick(nodes, i, now)
		}
		now = now.Add(time.Second / 2)
	}
	return nodes, now
}

func benchTick(nodes []*Node, i int, now time.Time) {
	request := nodes[i].NewRequest(now)
	for j, other := range nodes {
		if j != i {
			nodes[i].HandleReply(now, other.HandleRequest(now, request))
		}
	}
}
