package owner

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func TestStatic(t *testing.T) {
	t.Parallel()
	layout, live := cell(57, 8)
	tests := map[string]struct{ limit, want int }{
		"none":            {limit: 0, want: 0},
		"fewer than cell": {limit: 2, want: 2},
		"one each":        {limit: 8, want: 8},
		"rest unused":     {limit: 15, want: 8},
		"two each":        {limit: 16, want: 16},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, target := range layout.Targets() {
				got, cold := 0, 0
				for _, m := range live {
					s := Static{Self: m.Host, ColdLimit: func(magnoliashore.TargetID) int { return tt.limit }}
					s.Set(live)
					got += s.Share(start, target.ID(), tt.limit)
					if _, ok := s.Until(start, target.ID()); ok {
						cold++
					}
				}
				if got != tt.want || cold != min(tt.want, len(live)) {
					t.Errorf("%s: shares add up to %d and %d hosts may send cold work, want %d", target.ID(), got, cold, tt.want)
				}
			}
		})
	}
}

func TestLeased(t *testing.T) {
	t.Parallel()
	layout, live := cell(57, 8)
	p := Place(layout, live)
	id := layout.Targets()[0].ID()
	owner, _ := p.Owner(id)
	hosts := []Leased{{Self: owner}, {Self: p.Standbys(id)[0]}, {Self: "none"}}
	tests := []struct{ limit, reduced, other, leased int }{{8, 2, 0, 8}, {2, 1, 0, 2}, {0, 0, 0, 0}}
	for i := range hosts {
		h := &hosts[i]
		roster := lease.NewRoster([]magnoliashore.HostID{h.Self}, nil)
		cfg := lease.Config{Self: h.Self, Incarnation: 1, Term: time.Second, Roster: roster}
		h.Leases, h.Lock = lease.New(cfg, start), &sync.Mutex{}
		h.Set(p)
	}
	for _, tt := range tests {
		got := [3]int{hosts[0].Share(start, id, tt.limit), hosts[1].Share(start, id, tt.limit), hosts[2].Share(start, id, tt.limit)}
		if want := [3]int{tt.reduced, tt.reduced, tt.other}; got != want {
			t.Errorf("limit %d: shares of owner, standby, other: got %v, want %v", tt.limit, got, want)
		}
	}
	now := start.Add(time.Second)
	hosts[0].Leases.SetWanted(now, []lease.Key{lease.KeyOf(id)})
	hosts[0].Leases.NewRequest(now)
	for _, tt := range tests {
		if got := hosts[0].Share(now, id, tt.limit); got != tt.leased {
			t.Errorf("owner with a lease: got %d, want %d", got, tt.leased)
		}
	}
	hosts[0].Set(Placement{}) // now the previous owner
	if got, want := hosts[0].Share(now, id, 8), 2; got != want {
		t.Errorf("previous owner: got %d, want %d", got, want)
	}
}

func ExamplePlace() {
	targets := []magnoliashore.Target{
		magnoliashore.NewTarget("look1a", "look1", "a", "127.0.0.1:9001"),
		magnoliashore.NewTarget("look1b", "look1", "b", "127.0.0.1:9002"),
	}
	layout := magnoliashore.NewLayout(magnoliashore.LayoutSpec{Targets: targets})
	p := Place(layout, []Member{{Host: "e1", Zone: "a"}, {Host: "e2", Zone: "b"}})
	owner, _ := p.Owner("look1b")
	fmt.Println(owner, p.Standbys("look1b"))
	// Output: e2 [e1]
}
