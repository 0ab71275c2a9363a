package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func TestRosterHasQuorum(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		seats, former, voted []magnoliashore.HostID
		want                 bool
	}{
		"empty":           {},
		"single":          {seats: hosts(1), voted: hosts(1), want: true},
		"one of three":    {seats: hosts(3), voted: hosts(1)},
		"two of three":    {seats: hosts(3), voted: hosts(2), want: true},
		"half with first": {seats: hosts(4), voted: hosts(2), want: true},
		"half without":    {seats: hosts(4), voted: hosts(4)[2:]},
		"not former":      {seats: hosts(3), former: hosts(5)[2:], voted: hosts(2)},
		"current, former": {seats: hosts(3), former: hosts(4)[1:], voted: hosts(3), want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			voted := func(host magnoliashore.HostID) bool { return slices.Contains(tt.voted, host) }
			if got := NewRoster(tt.seats, tt.former).HasQuorum(voted); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
	if got, want := NewRoster(hosts(3), nil).Hash(), NewRoster(hosts(2), hosts(3)[2:]).Hash(); got == want {
		t.Errorf("two rosters have the hash %x", got)
	}
}

func hosts(count int) []magnoliashore.HostID {
	out := make([]magnoliashore.HostID, 0, count)
	for i := range count {
		out = append(out, hostName(i))
	}
	return out
}

// TestCellStart starts whole cells. The hosts must be ready one Term plus
// Margin after they have exchanged messages, and the first one to send a
// request then gets the lease.
func TestCellStart(t *testing.T) {
	t.Parallel()
	for count := 1; count <= 9; count++ {
		w := newWorld(count, faults{}, false)
		for _, p := range w.procs {
			w.exchange(p)
		}
		w.realTime = (testTerm + testMargin) * 11 / 10
		for _, p := range w.procs {
			if !p.node.Ready(p.now(w.realTime)) {
				t.Errorf("%d hosts: %s is not ready", count, p.host)
			}
		}
		w.exchange(w.procs[count-1])
		if got := w.holders(); len(got) != 1 || got[0] != w.procs[count-1] {
			t.Errorf("%d hosts: got %d holders, want the last host", count, len(got))
		}
	}
}

// TestHandleRequest checks which requests a grantor accepts after it has
// granted one with sequence 5.
func TestHandleRequest(t *testing.T) {
	t.Parallel()
	roster := NewRoster(hosts(3), nil).Hash()
	first := Request{From: "e0", Incarnation: 7, Sequence: 5, RosterHash: roster, Keys: []Key{1}}
	tests := map[string]struct {
		request           Request
		granted, recorded bool
	}{
		"again":             {request: first, granted: true, recorded: true},
		"lower sequence":    {request: Request{From: "e0", Incarnation: 7, Sequence: 4, RosterHash: roster, Keys: []Key{1}}},
		"lower incarnation": {request: Request{From: "e0", Incarnation: 6, Sequence: 9, RosterHash: roster, Keys: []Key{1}}},
		"other roster":      {request: Request{From: "e0", Incarnation: 7, Sequence: 6, Keys: []Key{1}}},
		"new process":       {request: Request{From: "e0", Incarnation: 8, RosterHash: roster, Keys: []Key{1}}, recorded: true},
		"not its promise":   {request: Request{From: "e0", Incarnation: 8, RosterHash: roster, Keys: []Key{1}, Release: []Key{1}}, recorded: true},
		"other host":        {request: Request{From: "e2", Incarnation: 9, RosterHash: roster, Keys: []Key{1}}, recorded: true},
		"other key":         {request: Request{From: "e2", Incarnation: 9, RosterHash: roster, Keys: []Key{2}}, granted: true, recorded: true},
		"stale view": {recorded: true, request: Request{From: "e2", Incarnation: 9, RosterHash: roster, Keys: []Key{2},
			View: []HostIncarnation{{Host: "e0", Incarnation: 6}}}},
		"after release": {request: Request{From: "e0", Incarnation: 7, Sequence: 6, RosterHash: roster, Release: []Key{1}}, recorded: true},
		"own seat":      {request: Request{From: "e1", Incarnation: 99, Sequence: 9, RosterHash: roster, Keys: []Key{2}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(3, faults{noAbstention: true}, false)
			grantor := w.procs[1]
			now := grantor.now(0)
			grantor.node.HandleRequest(now, first)
			reply := grantor.node.HandleRequest(now, tt.request)
			if got := len(reply.Granted) > 0; got != tt.granted {
				t.Errorf("granted: got %v, want %v", got, tt.granted)
			}
			if reply.Recorded != tt.recorded {
				t.Errorf("recorded: got %v, want %v", reply.Recorded, tt.recorded)
			}
			if got, want := grantor.node.Superseded(), name == "own seat"; got != want || grantor.node.Ready(now) == want {
				t.Errorf("superseded: got %v, want %v; ready must be the opposite", got, want)
			}
		})
	}
}

// TestRelease gives a promise back and then delivers late replies of the round
// before. They must not count.
func TestRelease(t *testing.T) {
	t.Parallel()
	w := newWorld(3, faults{noAbstention: true}, false)
	holder, grantor, next := w.procs[0], w.procs[1], w.procs[2]
	w.exchange(holder) // its view does not contain the others yet
	if got := len(w.holders()); got != 0 {
		t.Errorf("got %d holders by grants of processes outside the view, want none", got)
	}
	request := holder.node.NewRequest(holder.now(0))
	late := []Reply{grantor.node.HandleRequest(grantor.now(0), request), next.node.HandleRequest(next.now(0), request)}
	holder.node.Release(holder.now(0), []Key{1})
	w.exchange(holder)
	w.exchange(next)
	holder.node.SetWanted(holder.now(0), []Key{1})
	for _, reply := range late {
		holder.node.HandleReply(holder.now(0), reply)
	}
	if got := w.holders(); len(got) != 1 || got[0] != next {
		t.Errorf("got %d holders, want the next host", len(got))
	}
}

// TestLeaseLost checks the events that end a lease at once.
func TestLeaseLost(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		lose  func(n *Node, now time.Time)
		ready bool
	}{
		"grantors replaced": {ready: true, lose: func(n *Node, now time.Time) {
			n.HandleReply(now, Reply{From: "e1", Incarnation: 2, View: []HostIncarnation{{Host: "e2", Incarnation: 9}, {Host: "e1", Incarnation: 9}}})
		}},
		"superseded": {lose: func(n *Node, now time.Time) {
			n.HandleReply(now, Reply{From: "e1", Incarnation: 2, View: []HostIncarnation{{Host: "e0", Incarnation: 9}}})
		}},
		"other roster": {lose: func(n *Node, now time.Time) { n.SetRoster(now, NewRoster(hosts(3), hosts(2))) }},
		"not wanted":   {ready: true, lose: func(n *Node, now time.Time) { n.SetWanted(now, []Key{2}) }},
		"term over":    {ready: true, lose: func(*Node, time.Time) {}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(3, faults{}, false)
			for _, p := range w.procs {
				w.exchange(p)
			}
			w.realTime = 2 * testTerm
			w.exchange(w.procs[0])
			n, now := w.procs[0].node, w.procs[0].now(w.realTime)
			if until, ok := n.Until(now, 1); !ok || !until.Equal(now.Add(testTerm-testMargin)) {
				t.Fatalf("lease end: got %v, %v, want now plus Term minus Margin", until, ok)
			}
			if tt.lose(n, now); name == "term over" {
				now = now.Add(testTerm - testMargin)
			}
			if _, got := n.Until(now, 1); got {
				t.Error("the lease is still held")
			}
			if got := n.Ready(now); got != tt.ready {
				t.Errorf("ready: got %v, want %v", got, tt.ready)
			}
		})
	}
}

// TestRecorders checks which replies let a new process in a cell of three
// hosts settle.
func TestRecorders(t *testing.T) {
	t.Parallel()
	self := HostIncarnation{Host: "e0", Incarnation: 5}
	one := Reply{From: "e1", Incarnation: 2, View: []HostIncarnation{self}, Recorded: true, Settled: true}
	two := Reply{From: "e2", Incarnation: 3, View: []HostIncarnation{self}, Recorded: true, Settled: true}
	refused, other, replaced := two, two, two
	refused.Recorded = false
	other.View = []HostIncarnation{{Host: "e0", Incarnation: 4}}
	replaced.View = []HostIncarnation{self, {Host: "e1", Incarnation: 9}}
	tests := map[string]struct {
		replies []Reply
		want    bool
	}{
		"both":                 {replies: []Reply{one, two}, want: true},
		"one":                  {replies: []Reply{one, one}},
		"refused":              {replies: []Reply{one, refused}},
		"for previous process": {replies: []Reply{one, other}},
		"recorder replaced":    {replies: []Reply{one, replaced}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			roster := NewRoster(hosts(3), nil)
			n := New(Config{Self: "e0", Incarnation: 5, Term: testTerm, Margin: testMargin, Roster: roster}, epoch)
			for _, reply := range tt.replies {
				n.HandleReply(epoch, reply)
			}
			if n.Ready(epoch.Add(testTerm + testMargin - 1)) {
				t.Error("ready before Term and Margin have passed")
			}
			if got := n.Ready(epoch.Add(testTerm + testMargin)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
