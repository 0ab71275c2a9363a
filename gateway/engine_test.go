package gateway

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/registry"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

// noHosts stands for a host without others.
type noHosts struct{}

func (noHosts) Helpers() map[magnoliashore.ZoneName][]scatter.Helper { return nil }
func (noHosts) Link(string) (*relay.Link, bool)                      { return nil, false }
func (noHosts) Capacity() int                                        { return 100 }
func (noHosts) HostCount() int                                       { return 1 }
func (noHosts) Rank(magnoliashore.TargetID) int                      { return 0 }

func testEngine(view *catalog.View, limit retry.Limit) *Engine {
	return &Engine{
		Zone: "a", View: func() *catalog.View { return view }, Hosts: noHosts{}, Timer: &timer.Service{},
		Log: &log.Logger{Handler: discard.New()}, Metrics: NewMetrics(),
		Balancer: &balance.Balancer{Zone: "a"}, Budget: &retry.Budget{Limit: limit},
		ColdLimiter: &admit.ColdLimiter{Limit: admit.ColdLimit{Overshoot: 1, Slack: 0}},
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
	e := testEngine(view, retry.Limit{Window: 10 * time.Second})
	q := &query{kind: "k"}
	for _, test := range []struct {
		name string
		kind attemptKind
		want bool
	}{{"first", firstAttempt, true}, {"unsent", unsentRetry, true}, {"repeat", extraAttempt, false}} {
		if _, got := e.pick(q, "s", nil, test.kind); got != test.want {
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
	e := testEngine(view, retry.Limit{})
	q := &query{kind: "k"}
	sent := 0
	for range 20 {
		a, ok := e.pick(q, "s", []magnoliashore.TargetID{"warm"}, firstAttempt)
		if ok && a.target.ID() == "cold" {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("got %d of 20 requests at the cold target, want 1", sent)
	}
	if _, ok := e.pick(q, "s", nil, firstAttempt); !ok {
		t.Error("got no target, want the warm one")
	}
}

func member(peer string, zone magnoliashore.ZoneName, state membership.State) membership.Member {
	return membership.NewMember(membership.MemberSpec{Peer: peer, Caller: "c" + peer, Zone: zone, State: state})
}

func TestReadOrder(t *testing.T) {
	t.Parallel()
	zones := make(map[string]magnoliashore.ZoneName)
	places := []magnoliashore.ZoneName{"a", "a", "a", "b", "b", "c", "c", "d"}
	members := make([]membership.Member, 0, len(places))
	for i, zone := range places {
		peer := strconv.Itoa(i)
		zones[peer] = zone
		members = append(members, member(peer, zone, membership.Alive))
	}
	reading := make(map[magnoliashore.ZoneName]int)
	crossing := make(map[magnoliashore.ZoneName]int)
	for _, m := range members {
		order := names(readOrder(members, m.Peer()))
		if slices.Contains(order, m.Peer()) || !slices.Contains(order, registry.FromStore) {
			t.Errorf("host %s: got order %v, want one with the store and without itself", m.Peer(), order)
		}
		switch {
		case order[0] == registry.FromStore:
			reading[m.Zone()]++
		case zones[order[0]] != m.Zone():
			crossing[m.Zone()]++
		}
		if got, want := len(order), len(zones); got < 4 || got > want {
			t.Errorf("host %s: got %d sources, want the heads of all zones and the store", m.Peer(), got)
		}
	}
	if len(reading) != readers {
		t.Errorf("got readers in %d zones, want %d", len(reading), readers)
	}
	for zone, got := range crossing {
		if got+reading[zone] > 1 {
			t.Errorf("zone %s: got %d hosts that read across zones, want 1", zone, got)
		}
	}
	if got := names(readOrder(members[:1], "0")); !slices.Equal(got, []string{registry.FromStore}) {
		t.Errorf("got order %v for a lone host, want the store", got)
	}
}

// TestFollowersFormATree has 300 hosts in four zones: what a host sends to
// others does not grow with them, entries cross to a zone once, and come
// through few hosts.
func TestFollowersFormATree(t *testing.T) {
	t.Parallel()
	members := make([]membership.Member, 0, 300)
	zones := make(map[string]magnoliashore.ZoneName)
	for i := range 300 {
		peer := strconv.Itoa(1000 + i)
		zones[peer] = magnoliashore.ZoneName("abcd"[i%4 : i%4+1])
		members = append(members, member(peer, zones[peer], membership.Alive))
	}
	first := make(map[string]registry.Candidate)
	readersOf := make(map[string]int)
	crossing := make(map[magnoliashore.ZoneName]int)
	for _, m := range members {
		source := readOrder(members, m.Peer())[0]
		first[m.Peer()] = source
		readersOf[source.Name]++
		if source.Name != registry.FromStore && zones[source.Name] != m.Zone() {
			crossing[m.Zone()]++
		}
	}
	for name, got := range readersOf {
		if most := fanOut + 3; name != registry.FromStore && got > most { // the first hosts of other zones
			t.Errorf("host %s: got %d hosts that it tells, want at most %d", name, got, most)
		}
	}
	for _, zone := range []magnoliashore.ZoneName{"a", "b", "c", "d"} {
		if got := crossing[zone]; got > 1 {
			t.Errorf("zone %s: got %d hosts that read from another zone, want 1 at most", zone, got)
		}
	}
	for peer := range first {
		hops := 0
		for at := peer; at != registry.FromStore; at = first[at].Name {
			if hops++; hops > 6 {
				t.Fatalf("host %s: got a way to the store of more than 6 hosts", peer)
			}
		}
		if got, want := first[peer].MaxHops, hops-1; got != want {
			t.Errorf("host %s: got answers allowed through %d hosts, want %d", peer, got, want)
		}
	}
}

func names(candidates []registry.Candidate) []string {
	list := make([]string, len(candidates))
	for i, c := range candidates {
		list[i] = c.Name
	}
	return list
}

// fleet is a number of hosts that share limits.
type fleet struct {
	noHosts
	hosts int
}

func (f fleet) HostCount() int { return f.hosts }

// TestConnectionCapIsShared has a service short of room: what its targets take
// is divided by the hosts, and each has one at least.
func TestConnectionCapIsShared(t *testing.T) {
	t.Parallel()
	config := catalog.NewConfig(catalog.ConfigSpec{Version: 1, Services: []*catalog.Service{
		catalog.NewService(catalog.ServiceSpec{Name: "s", Connections: 31}),
	}})
	x := targetOf("t1", time.Time{})
	e := testEngine(catalog.NewView(config, []*catalog.Target{x}), retry.Limit{})
	for hosts, want := range map[int]int{1: 27, 8: 3, 27: 1, 60: 1} {
		e.Hosts = fleet{hosts: hosts}
		if got := e.maxConnections(x); got != want {
			t.Errorf("%d hosts: got %d connections for each, want %d", hosts, got, want)
		}
	}
}

// TestNewcomerAssumesOthers starts a host after a restart of all: until it
// knows them it keeps to the share of one among many.
func TestNewcomerAssumesOthers(t *testing.T) {
	t.Parallel()
	all := []membership.Member{member("127.0.0.1:1", "a", 0), member("127.0.0.1:2", "a", 0)}
	h := &hosts{
		self: all[0], timer: &timer.Service{}, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		links: make(map[string]*relay.Link), lastSeen: make(map[string]time.Time),
	}
	h.update(all[:1])
	if got := h.HostCount(); got != assumedHosts {
		t.Errorf("got %d hosts right after the start, want the assumed %d", got, assumedHosts)
	}
	h.update(all)
	h.lastJoined = h.lastJoined.Add(-discoveryQuietPeriod)
	if got := h.HostCount(); got != 2 {
		t.Errorf("got %d hosts when no further one was found, want 2", got)
	}
	h.update(all[:1])
	h.lastJoined, h.started = time.Now(), h.started.Add(-maxDiscoveryTime)
	h.lastSeen = make(map[string]time.Time)
	if got := h.HostCount(); got != 1 {
		t.Errorf("got %d hosts long after the start of a lone one, want 1", got)
	}
}

// TestLostHostsCountForAWhile has one of three hosts go: limits are shared by
// three until it is certain that it is not just out of reach.
func TestLostHostsCountForAWhile(t *testing.T) {
	t.Parallel()
	all := []membership.Member{member("127.0.0.1:1", "a", 0), member("127.0.0.1:2", "a", 0), member("127.0.0.1:3", "a", 0)}
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	h := &hosts{
		self: all[0], timer: &timer.Service{}, log: quiet,
		links: make(map[string]*relay.Link), lastSeen: make(map[string]time.Time),
	}
	h.update(all)
	h.started = h.started.Add(-maxDiscoveryTime)
	h.update(all[:2])
	if got := h.HostCount(); got != 3 {
		t.Errorf("got %d hosts right after one is lost, want 3", got)
	}
	h.lastChanged = h.lastChanged.Add(-lostHostPeriod - time.Second)
	if got := h.HostCount(); got != 2 {
		t.Errorf("got %d hosts long after, want 2", got)
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
	var admitted []admission
	enter := func(wait time.Duration) (admission, time.Duration, bool) {
		return g.admit(context.Background(), "k", size, 1, wait, 300*time.Millisecond)
	}
	for {
		p, after, ok := enter(10 * time.Millisecond)
		if !ok {
			if after <= 0 || after > 300*time.Millisecond {
				t.Errorf("got to come back after %s, want a time up to 300ms", after)
			}
			break
		}
		admitted = append(admitted, p)
	}
	time.AfterFunc(20*time.Millisecond, func() { admitted[0].done(false) })
	if _, _, ok := enter(2 * time.Second); !ok {
		t.Error("got a refusal though a query has ended, want to be let in")
	}
}

func TestGateIsLeftByCallersThatLeave(t *testing.T) {
	t.Parallel()
	g := &gates{timer: &timer.Service{}}
	size := gateSize{slots: 1, hosts: 100}
	for {
		if _, _, ok := g.admit(context.Background(), "k", size, 1, 0, 0); !ok {
			break
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	began := time.Now()
	if _, _, ok := g.admit(ctx, "k", size, 1, 5*time.Second, 0); ok {
		t.Error("got let in, want a refusal")
	}
	if got := time.Since(began); got > time.Second {
		t.Errorf("got an end after %s, want it when the caller left", got)
	}
}
