package lease_test

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

func ExampleNode() {
	const term, margin = 3 * time.Second, 300 * time.Millisecond
	start := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	roster := lease.NewRoster([]magnoliashore.HostID{"e1", "e2", "e3"}, nil)
	nodes := make([]*lease.Node, 0, len(roster.Seats()))
	for i, host := range roster.Seats() {
		cfg := lease.Config{Self: host, Incarnation: magnoliashore.Incarnation(i + 1), Term: term, Margin: margin, Roster: roster}
		nodes = append(nodes, lease.New(cfg, start))
	}
	heartbeat := func(now time.Time, from *lease.Node) {
		request := from.NewRequest(now)
		for _, to := range nodes {
			from.HandleReply(now, to.HandleRequest(now, request))
		}
	}
	for _, n := range nodes {
		heartbeat(start, n)
	}
	now := start.Add(term + margin)
	key := lease.KeyOf("look1a")
	nodes[0].SetWanted(now, []lease.Key{key})
	heartbeat(now, nodes[0])
	until, ok := nodes[0].Until(now, key)
	fmt.Println(until.Sub(now), ok)
	// Output: 2.7s true
}
