package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

// alone stands for a host without others.
type alone struct{}

func (alone) Helpers() map[magnoliashore.ZoneName][]scatter.Helper { return nil }
func (alone) Link(string) (*relay.Link, bool)                      { return nil, false }
func (alone) Room() int                                            { return 100 }
func (alone) Count() int                                           { return 1 }
func (alone) Rank(magnoliashore.TargetID) int                      { return 0 }

func engine(view *catalog.View, limit retry.Limit) *Engine {
	return &Engine{
		Zone: "a", View: func() *catalog.View { return view }, Hosts: alone{}, Timer: &timer.Service{},
		Log: &log.Logger{Handler: discard.New()}, Metrics: NewMetrics(),
		Book: &balance.Book{Zone: "a"}, Budget: &retry.Budget{Limit: limit},
		Cold: &admit.Cold{Limit: admit.ColdLimit{Overshoot: 1, Slack: 0}},
	}
}

func targetOf(id magnoliashore.TargetID, coldUntil time.Time) *catalog.Target {
	return catalog.NewTarget(catalog.TargetSpec{ID: id, Service: "s", Zone: "a", Slots: 2, ColdUntil: coldUntil})
}

// TestUnsentAttemptsNeedNoBudget has the repeats used up, as after a restart
// in a backlog of callers, when full queues refuse attempts before they are
// sent.
func TestUnsentAttemptsNeedNoBudget(t *testing.T) {
	t.Parallel()
	view := catalog.NewView(nil, []*catalog.Target{targetOf("t1", time.Time{}), targetOf("t2", time.Time{}), targetOf("t3", time.Time{})})
	e := engine(view, retry.Limit{Window: 10 * time.Second})
	q := &query{kind: "k"}
	for _, test := range []struct {
		name string
		why  reason
		want bool
	}{{"first", first, true}, {"unsent", unsent, true}, {"repeat", extra, false}} {
		if _, got := e.pick(q, "s", nil, test.why); got != test.want {
			t.Errorf("%s attempt: got %t, want %t", test.name, got, test.want)
		}
	}
}

// TestColdTargetIsLeftOut has the only sound replica cold with a rate of one
// request a second.
func TestColdTargetIsLeftOut(t *testing.T) {
	t.Parallel()
	config := catalog.NewConfig(catalog.ConfigSpec{Version: 1, Services: []*catalog.Service{
		catalog.NewService(catalog.ServiceSpec{Name: "s", ColdRate: 2}),
	}})
	view := catalog.NewView(config, []*catalog.Target{targetOf("cold", time.Now().Add(time.Minute)), targetOf("warm", time.Time{})})
	e := engine(view, retry.Limit{})
	q := &query{kind: "k"}
	sent := 0
	for range 20 {
		a, ok := e.pick(q, "s", []magnoliashore.TargetID{"warm"}, first)
		if ok && a.target.ID() == "cold" {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("got %d of 20 requests at the cold target, want 1", sent)
	}
	if _, ok := e.pick(q, "s", nil, first); !ok {
		t.Error("got no target, want the warm one")
	}
}

func member(peer string, zone magnoliashore.ZoneName, state membership.State) membership.Member {
	return membership.NewMember(membership.MemberSpec{Peer: peer, Caller: "c" + peer, Zone: zone, State: state})
}

func TestReadOrder(t *testing.T) {
	t.Parallel()
	var members []membership.Member
	for _, m := range []struct {
		peer string
		zone magnoliashore.ZoneName
	}{{"1", "a"}, {"2", "a"}, {"3", "b"}, {"4", "b"}, {"5", "c"}} {
		members = append(members, member(m.peer, m.zone, membership.Alive))
	}
	zones := make(map[magnoliashore.ZoneName]bool)
	count := 0
	for _, m := range members {
		order, reads := readOrder(members, m.Peer())
		if reads {
			count++
			zones[m.Zone()] = true
		}
		if slices.Contains(order, m.Peer()) {
			t.Errorf("host %s: got order %v, want one without itself", m.Peer(), order)
		}
	}
	if count != readers || len(zones) != readers {
		t.Errorf("got %d readers in %d zones, want %d in as many", count, len(zones), readers)
	}
	for _, m := range members {
		order, reads := readOrder(members, m.Peer())
		if reads {
			continue
		}
		first := slices.IndexFunc(members, func(x membership.Member) bool { return x.Peer() == order[0] })
		head, _ := readOrder(members, order[0])
		crosses := members[first].Zone() != m.Zone()
		if crosses && slices.ContainsFunc(members, func(x membership.Member) bool {
			o, r := readOrder(members, x.Peer())
			return x.Zone() == m.Zone() && x.Peer() != m.Peer() && (r || o[0] == order[0])
		}) {
			t.Errorf("host %s reads from %s of another zone (which reads from %v), want a host of its own", m.Peer(), order[0], head)
		}
	}
	if _, reads := readOrder(members[:1], "1"); !reads {
		t.Error("got a lone host that does not read the store, want that it does")
	}
}

func TestCallerAddresses(t *testing.T) {
	t.Parallel()
	members := []membership.Member{
		member("1", "a", membership.Alive), member("2", "a", membership.Suspect), member("3", "a", membership.Leaving),
		member("4", "b", membership.Alive), member("5", "b", membership.Dead),
	}
	for zone, want := range map[magnoliashore.ZoneName][]string{
		"a": {"c1", "c2"}, "b": {"c1", "c2", "c4"}, "elsewhere": {"c1", "c2", "c4"},
	} {
		if got := callerAddresses(members, zone); !slices.Equal(got, want) {
			t.Errorf("zone %s: got %v, want %v", zone, got, want)
		}
	}
}

// TestGatesRefuseAfterTheWait fills a gate: the next query waits, and is let
// in when one ends, or refused with a time to come back.
func TestGatesRefuseAfterTheWait(t *testing.T) {
	t.Parallel()
	g := &gates{timer: &timer.Service{}}
	size := gateSize{slots: 1, hosts: 2}
	var inside []pass
	enter := func(wait time.Duration) (pass, time.Duration, bool) {
		return g.enter(context.Background(), "k", size, 1, wait, 300*time.Millisecond)
	}
	for {
		p, after, ok := enter(10 * time.Millisecond)
		if !ok {
			if after <= 0 || after > 300*time.Millisecond {
				t.Errorf("got to come back after %s, want a time up to 300ms", after)
			}
			break
		}
		inside = append(inside, p)
	}
	time.AfterFunc(20*time.Millisecond, func() { inside[0].leave(false) })
	if _, _, ok := enter(2 * time.Second); !ok {
		t.Error("got a refusal though a query has ended, want to be let in")
	}
}

func TestGateIsLeftByCallersThatLeave(t *testing.T) {
	t.Parallel()
	g := &gates{timer: &timer.Service{}}
	size := gateSize{slots: 1, hosts: 100}
	for {
		if _, _, ok := g.enter(context.Background(), "k", size, 1, 0, 0); !ok {
			break
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	began := time.Now()
	if _, _, ok := g.enter(ctx, "k", size, 1, 5*time.Second, 0); ok {
		t.Error("got let in, want a refusal")
	}
	if got := time.Since(began); got > time.Second {
		t.Errorf("got an end after %s, want it when the caller left", got)
	}
}
