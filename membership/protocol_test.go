package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/membership"
)

// cluster simulates hosts on a network that delays and drops packets and may be
// partitioned.
type cluster struct {
	random      *rand.Rand
	now         time.Time
	hosts       map[string]*membership.Protocol
	frozen      map[string]bool
	partitioned map[string]bool // hosts on one side of a partition
	loss        float64
	inFlight    []delayedPacket

	counting           bool // count sent bytes
	sentBytes, packets int
	crossZoneBytes     int // of sentBytes
}

// joinRetryInterval is the time between two calls of JoinAlone.
const joinRetryInterval = 50 * time.Millisecond

type delayedPacket struct {
	arrival time.Time
	from    string
	packet  membership.Packet
}

func newCluster(seed uint64, hosts int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), hosts: make(map[string]*membership.Protocol),
		frozen: make(map[string]bool), partitioned: make(map[string]bool),
	}
	for i := range hosts {
		c.start(address(i), uint64(100+i))
	}
	return c
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

// zoneOf distributes hosts over four availability zones.
func zoneOf(peer string) magnoliashore.ZoneName {
	digit := int(peer[strings.IndexByte(peer, ':')-1] - '0')
	return magnoliashore.ZoneName("abcd"[digit%4 : digit%4+1])
}

func (c *cluster) start(peer string, incarnation uint64) {
	c.hosts[peer] = &membership.Protocol{
		Self: membership.MemberSpec{
			Host: magnoliashore.HostID("h" + peer), Zone: zoneOf(peer), Peer: peer, Caller: peer,
			Incarnation: magnoliashore.Incarnation(incarnation),
		},
		Seeds:  []string{address(0), address(1), address(2)},
		Config: membership.DefaultConfig(), Random: c.random,
	}
}

func (c *cluster) send(from string, packets []membership.Packet) {
	c.countBytes(from, packets)
	for _, p := range packets {
		if c.random.Float64() < c.loss || c.partitioned[from] != c.partitioned[p.To] {
			continue
		}
		delay := time.Duration(c.random.IntN(8)) * time.Millisecond
		c.inFlight = append(c.inFlight, delayedPacket{arrival: c.now.Add(delay), from: from, packet: p})
	}
}

// run advances the simulated time.
func (c *cluster) run(length time.Duration) {
	end := c.now.Add(length)
	period := membership.DefaultConfig().ProbeInterval
	for c.now.Before(end) {
		c.now = c.now.Add(10 * time.Millisecond)
		due := c.inFlight
		c.inFlight = nil
		for _, f := range due {
			if f.arrival.After(c.now) {
				c.inFlight = append(c.inFlight, f)
				continue
			}
			if protocol, ok := c.hosts[f.packet.To]; ok && !c.frozen[f.packet.To] {
				c.send(f.packet.To, protocol.Receive(c.now, f.packet.Message))
			}
		}
		for i, peer := range c.peers() {
			if !c.frozen[peer] && (c.now.UnixMilli()/10+int64(i))%(joinRetryInterval.Milliseconds()/10) == 0 {
				c.send(peer, c.hosts[peer].JoinAlone())
			}
			if c.frozen[peer] || (c.now.UnixMilli()/10+int64(i))%(period.Milliseconds()/10) != 0 {
				continue
			}
			c.send(peer, c.hosts[peer].Tick(c.now))
		}
	}
}

func (c *cluster) peers() []string {
	peers := make([]string, 0, len(c.hosts))
	for p := range c.hosts {
		peers = append(peers, p)
	}
	slices.Sort(peers)
	return peers
}

// serving returns the hosts to which a host sends callers.
func (c *cluster) serving(peer string) []string {
	var serving []string
	for _, m := range c.hosts[peer].Members() {
		if m.Serves() {
			serving = append(serving, m.Peer())
		}
	}
	slices.Sort(serving)
	return serving
}

func (c *cluster) wantServing(t *testing.T, what string, want []string) {
	t.Helper()
	for _, peer := range c.peers() {
		if c.frozen[peer] || !slices.Contains(want, peer) {
			continue
		}
		if got := c.serving(peer); !slices.Equal(got, want) {
			t.Errorf("%s: host %s: got %v, want %v", what, peer, got, want)
		}
	}
}

// removalBound is the time within which a lost host must be removed: the users'
// stable window of 4 s plus 3 s.
const removalBound = 7 * time.Second

func TestHostsFindEachOther(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		c := newCluster(seed, 8)
		c.loss = 0.05
		c.run(5 * time.Second)
		c.wantServing(t, fmt.Sprintf("seed %d", seed), c.peers())
	}
}

func TestLostHostIsRemoved(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		c := newCluster(seed, 8)
		c.run(5 * time.Second)
		delete(c.hosts, address(int(seed%8)))
		c.run(removalBound)
		c.wantServing(t, fmt.Sprintf("seed %d", seed), c.peers())
	}
}

// TestRestartedHostRejoins restarts a host with a higher incarnation, and with a
// lower one as after its clock was set back.
func TestRestartedHostRejoins(t *testing.T) {
	t.Parallel()
	for _, incarnation := range []uint64{1, 1000} {
		c := newCluster(incarnation, 6)
		c.run(5 * time.Second)
		delete(c.hosts, address(4))
		c.run(removalBound)
		c.start(address(4), incarnation)
		c.run(3 * time.Second)
		c.wantServing(t, fmt.Sprintf("incarnation %d", incarnation), c.peers())
	}
}

// TestJoinWithOneSeedUp starts hosts while two of three seeds are down.
func TestJoinWithOneSeedUp(t *testing.T) {
	t.Parallel()
	c := newCluster(3, 8)
	delete(c.hosts, address(0))
	delete(c.hosts, address(2))
	c.run(8 * time.Second)
	c.wantServing(t, "with one seed", c.peers())
}

// TestHostUpBeforeItsSeeds starts a host 150 ms before its seeds, as when all
// hosts are back from a loss of power: it must find them long before its next
// probe is due.
func TestHostUpBeforeItsSeeds(t *testing.T) {
	t.Parallel()
	c := newCluster(1, 0)
	early := address(5)
	c.start(early, 1)
	c.send(early, c.hosts[early].Tick(c.now))
	c.run(150 * time.Millisecond)
	for i := range 3 {
		c.start(address(i), uint64(2+i))
	}
	c.run(100 * time.Millisecond)
	if got, want := len(c.serving(early)), 2; got < want {
		t.Errorf("got %d hosts known to the early host 100 ms after its seeds started, want at least %d", got, want)
	}
}

func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		c := newCluster(seed, 8)
		c.run(5 * time.Second)
		c.partitioned[address(5)], c.partitioned[address(6)] = true, true
		c.run(removalBound)
		c.wantServing(t, "cut off", []string{address(5), address(6)})
		c.partitioned = make(map[string]bool)
		c.run(6 * time.Second)
		c.wantServing(t, fmt.Sprintf("healed, seed %d", seed), c.peers())
	}
}

func TestLeavingHostGetsNoCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(1, 8)
	c.run(5 * time.Second)
	c.send(address(3), c.hosts[address(3)].Leave())
	c.run(200 * time.Millisecond)
	want := slices.DeleteFunc(c.peers(), func(p string) bool { return p == address(3) })
	c.wantServing(t, "after it left", want)
}

// TestCutIsKnownEverywhere has a host announce that it is cut off from targets, and that
// it is not any more. All others know within two seconds, also if packets are lost, and
// the host goes on serving.
func TestCutIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	c := newCluster(4, 60)
	c.loss = 0.1
	c.run(10 * time.Second)
	for _, cut := range []bool{true, false} {
		c.send(address(3), c.hosts[address(3)].SetCut(cut))
		c.run(2 * time.Second)
		unaware := 0
		for _, host := range c.hosts {
			for _, m := range host.Members() {
				if m.Peer() == address(3) && (m.Cut() != cut || !m.Serves()) {
					unaware++
				}
			}
		}
		if unaware > 0 {
			t.Errorf("cut %t: got %d hosts that do not know, want none", cut, unaware)
		}
	}
	if packets := c.hosts[address(3)].SetCut(false); packets != nil {
		t.Errorf("got %d packets without a change, want none", len(packets))
	}
}

// TestFrozenHostRefutes suspends a host until the others declare it dead.
func TestFrozenHostRefutes(t *testing.T) {
	t.Parallel()
	c := newCluster(2, 8)
	c.run(5 * time.Second)
	c.frozen[address(6)] = true
	c.run(removalBound)
	if got := c.serving(address(1)); slices.Contains(got, address(6)) {
		t.Errorf("got %v while a host is frozen, want it removed", got)
	}
	delete(c.frozen, address(6))
	c.run(6 * time.Second)
	c.wantServing(t, "after it resumed", c.peers())
}

// TestTrafficStaysInTheZone counts the bytes that 60 hosts in four zones send
// once all know each other. Probes of random hosts would cross zones three times
// out of four.
func TestTrafficStaysInTheZone(t *testing.T) {
	t.Parallel()
	c := newCluster(3, 60)
	c.run(10 * time.Second)
	c.wantServing(t, "after the start", c.peers())
	c.counting = true
	c.run(20 * time.Second)
	if 2*c.crossZoneBytes > c.sentBytes {
		t.Errorf("got %d of %d bytes between zones, want at most half", c.crossZoneBytes, c.sentBytes)
	}
}

// TestJoinListIsNotGossiped starts a host in a stable cluster. If it gossiped the
// list of members that it receives, the traffic of the other hosts would stay
// high after the join.
func TestJoinListIsNotGossiped(t *testing.T) {
	t.Parallel()
	c := newCluster(4, 60)
	c.run(60 * time.Second)
	c.counting = true
	c.run(5 * time.Second)
	before := c.sentBytes
	c.counting = false
	c.start(address(60), 500)
	c.run(2 * time.Second)
	c.counting, c.sentBytes = true, 0
	c.run(5 * time.Second)
	if c.sentBytes > before*3/2 {
		t.Errorf("got %d bytes in 5 s after a join, %d before it, want half as much more at most", c.sentBytes, before)
	}
}

// TestRandomSchedules stops, starts, partitions and freezes hosts at random. It
// checks that no incarnation decreases and that the hosts agree once the faults
// end.
func TestRandomSchedules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		c := newCluster(seed, 8)
		c.loss = 0.02
		incarnations := make(map[*membership.Protocol]map[string]magnoliashore.Incarnation)
		next := uint64(1000)
		for range 30 {
			c.injectFault(&next)
			c.run(time.Duration(c.random.IntN(2500)) * time.Millisecond)
			c.wantMonotonicIncarnations(t, seed, incarnations)
		}
		c.partitioned, c.frozen = make(map[string]bool), make(map[string]bool)
		c.run(removalBound + 5*time.Second)
		c.wantServing(t, fmt.Sprintf("seed %d", seed), c.peers())
	}
}

// wantMonotonicIncarnations checks that no host records a lower incarnation of
// another host than it did before.
func (c *cluster) wantMonotonicIncarnations(t *testing.T, seed uint64, incarnations map[*membership.Protocol]map[string]magnoliashore.Incarnation) {
	t.Helper()
	for peer, protocol := range c.hosts {
		if incarnations[protocol] == nil {
			incarnations[protocol] = make(map[string]magnoliashore.Incarnation)
		}
		for _, m := range protocol.Members() {
			if got, want := m.Incarnation(), incarnations[protocol][m.Peer()]; got < want {
				t.Errorf("seed %d: host %s has incarnation %d of %s, want at least %d", seed, peer, got, m.Peer(), want)
			}
			incarnations[protocol][m.Peer()] = m.Incarnation()
		}
	}
}

// injectFault applies one random change.
func (c *cluster) injectFault(next *uint64) {
	peer := address(c.random.IntN(8))
	_, running := c.hosts[peer]
	switch c.random.IntN(5) {
	case 0:
		if len(c.hosts) > 2 && peer != address(0) {
			delete(c.hosts, peer)
		}
	case 1, 2:
		if !running {
			*next += uint64(c.random.IntN(100))
			c.start(peer, *next-uint64(c.random.IntN(900)))
		}
	case 3:
		c.partitioned[peer] = !c.partitioned[peer]
	case 4:
		c.frozen[peer] = !c.frozen[peer]
		if !c.frozen[peer] {
			delete(c.frozen, peer)
		}
	}
}

func TestCodec(t *testing.T) {
	t.Parallel()
	member := membership.NewMember(membership.MemberSpec{
		Host: "h", Zone: "z", Peer: "10.0.0.1:1", Caller: "10.0.0.1:2", Incarnation: 7, State: membership.Suspect,
	})
	want := membership.Message{
		Kind: membership.Probe, Number: 9, From: member, Target: "10.0.0.2:1", Updates: []membership.Member{member},
	}
	data, err := membership.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := membership.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got.Kind != want.Kind || got.Number != want.Number || got.From != want.From || got.Updates[0] != member {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, bad := range [][]byte{nil, {0x80}, []byte("GET / HTTP/1.1\r\n")} {
		if _, err := membership.Decode(bad); err == nil {
			t.Errorf("decoding %q: got no error, want one", bad)
		}
	}
}

// TestLostZoneIsRemoved stops all hosts of one of four zones at once, at 60 and
// 240 hosts. The others remove them within the bound for a single host.
func TestLostZoneIsRemoved(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{60, 240} {
		c := newCluster(11, hosts)
		c.run(20 * time.Second)
		var remaining []string
		for _, peer := range c.peers() {
			if zoneOf(peer) == "d" {
				c.frozen[peer] = true
			} else {
				remaining = append(remaining, peer)
			}
		}
		c.run(removalBound)
		for _, peer := range remaining {
			if got := len(c.serving(peer)); got > len(remaining) {
				t.Errorf("%d hosts: host %s still has %d members of the lost zone, want none", hosts, peer, got-len(remaining))
			}
		}
	}
}
