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
	"github.com/magnoliashore/magnoliashore/quota"
	"github.com/magnoliashore/magnoliashore/registry"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

// noHosts is a Hosts without other hosts.
type noHosts struct{}

func (noHosts) Helpers() map[magnoliashore.ZoneName][]scatter.Helper { return nil }
func (noHosts) Link(string) (*relay.Link, bool)                      { return nil, false }
func (noHosts) Capacity() int                                        { return 100 }
func (noHosts) HostCount() int                                       { return 1 }
func (noHosts) Rank(magnoliashore.TargetID) int                      { return 0 }
func (noHosts) Fellows() []string                                    { return nil }
func (noHosts) Confirm(string)                                       {}
func (noHosts) RecordHelp(string, bool)                              {}
func (noHosts) Sharing() quota.Sharing                               { return quota.Sharing{Hosts: 1, Running: 1} }

func testEngine(view *catalog.View, limit retry.Limit) *Engine {
	return &Engine{
		Zone: "a", View: func() *catalog.View { return view }, Hosts: noHosts{}, Timer: &timer.Service{},
		Log: &log.Logger{Handler: discard.New()}, Metrics: NewMetrics(),
		Balancer: &balance.Balancer{Zone: "a"}, Budget: &retry.Budget{Limit: limit},
		ColdLimiter: &admit.ColdLimiter{Limit: admit.ColdLimit{Overshoot: 1, Slack: 0}},
		stop:        newStop(),
	}
}

func targetOf(id magnoliashore.TargetID, coldUntil time.Time) *catalog.Target {
	return catalog.NewTarget(catalog.TargetSpec{ID: id, Service: "s", Zone: "a", Slots: 2, ColdUntil: coldUntil})
}

// TestUnsentAttemptsNeedNoBudget guards against retries that fail for lack of
// budget although full queues refused the earlier attempts unsent, as after a
// restart under a backlog of requests.
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

// TestColdTargetIsLimited tries the cold replica of a service 20 times with the
// warm one excluded. The cold replica must receive one request only.
func TestColdTargetIsLimited(t *testing.T) {
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
		t.Errorf("got %d of 20 requests sent to the cold target, want 1", sent)
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
	memberZones := []magnoliashore.ZoneName{"a", "a", "a", "b", "b", "c", "c", "d"}
	members := make([]membership.Member, 0, len(memberZones))
	for i, zone := range memberZones {
		peer := strconv.Itoa(i)
		zones[peer] = zone
		members = append(members, member(peer, zone, membership.Alive))
	}
	reading := make(map[magnoliashore.ZoneName]int)
	crossing := make(map[magnoliashore.ZoneName]int)
	for _, m := range members {
		order := names(readOrder(members, m.Peer()))
		if slices.Contains(order, m.Peer()) || !slices.Contains(order, registry.StoreName) {
			t.Errorf("host %s: got order %v, want one with the store and without the host itself", m.Peer(), order)
		}
		switch {
		case order[0] == registry.StoreName:
			reading[m.Zone()]++
		case zones[order[0]] != m.Zone():
			crossing[m.Zone()]++
		}
		if got, want := len(order), len(zones); got < 4 || got > want {
			t.Errorf("host %s: got %d sources, want the first hosts of all zones and the store", m.Peer(), got)
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
	if got := names(readOrder(members[:1], "0")); !slices.Equal(got, []string{registry.StoreName}) {
		t.Errorf("got order %v for a lone host, want the store", got)
	}
}

// TestSourcesFormATree checks, with 300 hosts in four zones, that the number of
// hosts that read from one host is bounded, that entries cross to a zone once,
// and that they pass through few hosts.
func TestSourcesFormATree(t *testing.T) {
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
		if source.Name != registry.StoreName && zones[source.Name] != m.Zone() {
			crossing[m.Zone()]++
		}
	}
	for name, got := range readersOf {
		if limit := fanOut + 3; name != registry.StoreName && got > limit { // 3: the first hosts of other zones
			t.Errorf("host %s: got %d hosts that read from it, want at most %d", name, got, limit)
		}
	}
	for _, zone := range []magnoliashore.ZoneName{"a", "b", "c", "d"} {
		if got := crossing[zone]; got > 1 {
			t.Errorf("zone %s: got %d hosts that read from another zone, want 1 at most", zone, got)
		}
	}
	for peer := range first {
		hops := 0
		for at := peer; at != registry.StoreName; at = first[at].Name {
			if hops++; hops > 6 {
				t.Fatalf("host %s: got a path to the store of more than 6 hosts", peer)
			}
		}
		if got, want := first[peer].MaxHops, hops-1; got != want {
			t.Errorf("host %s: got %d hops at most, want %d", peer, got, want)
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

// fleet is a Hosts with a given number of hosts that share limits.
type fleet struct {
	noHosts
	hosts int
}

func (f fleet) HostCount() int { return f.hosts }

// TestConnectionLimitIsShared checks that the hosts divide the connections to a
// target among them and that each may open at least one.
func TestConnectionLimitIsShared(t *testing.T) {
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

// TestNewHostAssumesOthers guards against hosts that each use the whole limit
// after a restart of all: until discovery ends, a host takes the share of one
// among many.
func TestNewHostAssumesOthers(t *testing.T) {
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
		t.Errorf("got %d hosts after discovery, want 2", got)
	}
	h.update(all[:1])
	h.lastJoined, h.started = time.Now(), h.started.Add(-maxDiscoveryTime)
	h.lastSeen = make(map[string]time.Time)
	if got := h.HostCount(); got != 1 {
		t.Errorf("got %d hosts long after the start of a single host, want 1", got)
	}
}

// TestLostHostsCountForAWhile loses one of three hosts. Limits are shared by
// three for some time, since the lost host may only be unreachable.
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
		t.Errorf("got %d hosts right after the loss of one, want 3", got)
	}
	h.lastChanged = h.lastChanged.Add(-lostHostPeriod - time.Second)
	if got := h.HostCount(); got != 2 {
		t.Errorf("got %d hosts long after the loss, want 2", got)
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

// TestGatesRefuseAfterTheWait fills a gate. The next query must be refused with
// a retry-after at the end of its wait, or admitted if another query ends.
func TestGatesRefuseAfterTheWait(t *testing.T) {
	t.Parallel()
	g := &gates{timer: &timer.Service{}}
	size := gateSize{slots: 1, hosts: 2}
	var admitted []admission
	enter := func(wait time.Duration) (admission, time.Duration, bool) {
		return g.admit(context.Background(), "k", size, 1, wait, 300*time.Millisecond, nil)
	}
	for {
		p, retryAfter, ok := enter(10 * time.Millisecond)
		if !ok {
			if retryAfter <= 0 || retryAfter > 300*time.Millisecond {
				t.Errorf("got retry-after %s, want above 0 and at most 300ms", retryAfter)
			}
			break
		}
		admitted = append(admitted, p)
	}
	time.AfterFunc(20*time.Millisecond, func() { admitted[0].done(false) })
	if _, _, ok := enter(2 * time.Second); !ok {
		t.Error("query refused although another one has ended, want it admitted")
	}
}

// TestGateWaitEndsWhenCallerLeaves cancels the context of a waiting query.
func TestGateWaitEndsWhenCallerLeaves(t *testing.T) {
	t.Parallel()
	g := &gates{timer: &timer.Service{}}
	size := gateSize{slots: 1, hosts: 100}
	for {
		if _, _, ok := g.admit(context.Background(), "k", size, 1, 0, 0, nil); !ok {
			break
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	began := time.Now()
	if _, _, ok := g.admit(ctx, "k", size, 1, 5*time.Second, 0, nil); ok {
		t.Error("query admitted, want it refused")
	}
	if got := time.Since(began); got > time.Second {
		t.Errorf("wait ended after %s, want it to end when the caller leaves", got)
	}
}
