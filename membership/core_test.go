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

// world runs cores over a network that delays, drops and cuts.
type world struct {
	random *rand.Rand
	now    time.Time
	cores  map[string]*membership.Protocol
	frozen map[string]bool
	cut    map[string]bool // hosts on the other side of a partition
	loss   float64
	flight []flight

	weighed       bool // bytes are counted
	sent, packets int
	across        int // bytes of sent that cross zones
}

type flight struct {
	at     time.Time
	from   string
	packet membership.Packet
}

func newWorld(seed uint64, hosts int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), cores: make(map[string]*membership.Protocol),
		frozen: make(map[string]bool), cut: make(map[string]bool),
	}
	for i := range hosts {
		w.start(address(i), uint64(100+i))
	}
	return w
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

// zoneOf spreads hosts over four availability zones.
func zoneOf(peer string) magnoliashore.ZoneName {
	digit := int(peer[strings.IndexByte(peer, ':')-1] - '0')
	return magnoliashore.ZoneName("abcd"[digit%4 : digit%4+1])
}

func (w *world) start(peer string, incarnation uint64) {
	w.cores[peer] = &membership.Protocol{
		Self: membership.MemberSpec{
			Host: magnoliashore.HostID("h" + peer), Zone: zoneOf(peer), Peer: peer, Caller: peer,
			Incarnation: magnoliashore.Incarnation(incarnation),
		},
		Seeds:  []string{address(0), address(1), address(2)},
		Config: membership.DefaultConfig(), Random: w.random,
	}
}

func (w *world) post(from string, packets []membership.Packet) {
	w.weigh(from, packets)
	for _, p := range packets {
		if w.random.Float64() < w.loss || w.cut[from] != w.cut[p.To] {
			continue
		}
		delay := time.Duration(w.random.IntN(8)) * time.Millisecond
		w.flight = append(w.flight, flight{at: w.now.Add(delay), from: from, packet: p})
	}
}

// run lets time pass.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	period := membership.DefaultConfig().Period
	for w.now.Before(end) {
		w.now = w.now.Add(10 * time.Millisecond)
		due := w.flight
		w.flight = nil
		for _, f := range due {
			if f.at.After(w.now) {
				w.flight = append(w.flight, f)
				continue
			}
			if core, ok := w.cores[f.packet.To]; ok && !w.frozen[f.packet.To] {
				w.post(f.packet.To, core.Receive(w.now, f.packet.Message))
			}
		}
		for i, peer := range w.peers() {
			if w.frozen[peer] || (w.now.UnixMilli()/10+int64(i))%(period.Milliseconds()/10) != 0 {
				continue
			}
			w.post(peer, w.cores[peer].Tick(w.now))
		}
	}
}

func (w *world) peers() []string {
	peers := make([]string, 0, len(w.cores))
	for p := range w.cores {
		peers = append(peers, p)
	}
	slices.Sort(peers)
	return peers
}

// views returns whom a host sends callers to.
func (w *world) serving(peer string) []string {
	var out []string
	for _, m := range w.cores[peer].Members() {
		if m.Serves() {
			out = append(out, m.Peer())
		}
	}
	slices.Sort(out)
	return out
}

func (w *world) wantServing(t *testing.T, what string, want []string) {
	t.Helper()
	for _, peer := range w.peers() {
		if w.frozen[peer] || !slices.Contains(want, peer) {
			continue
		}
		if got := w.serving(peer); !slices.Equal(got, want) {
			t.Errorf("%s: host %s: got %v, want %v", what, peer, got, want)
		}
	}
}

// lossBound is how long a host that is lost may still be named: the users'
// stable window of 4 s and 3 s more.
const lossBound = 7 * time.Second

func TestHostsFindEachOther(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newWorld(seed, 8)
		w.loss = 0.05
		w.run(5 * time.Second)
		w.wantServing(t, fmt.Sprintf("seed %d", seed), w.peers())
	}
}

func TestLostHostIsForgotten(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newWorld(seed, 8)
		w.run(5 * time.Second)
		delete(w.cores, address(int(seed%8)))
		w.run(lossBound)
		w.wantServing(t, fmt.Sprintf("seed %d", seed), w.peers())
	}
}

// TestReplacedHostIsBack restarts a host whose clock was set back.
func TestReplacedHostIsBack(t *testing.T) {
	t.Parallel()
	for _, incarnation := range []uint64{1, 1000} {
		w := newWorld(incarnation, 6)
		w.run(5 * time.Second)
		delete(w.cores, address(4))
		w.run(lossBound)
		w.start(address(4), incarnation)
		w.run(3 * time.Second)
		w.wantServing(t, fmt.Sprintf("incarnation %d", incarnation), w.peers())
	}
}

// TestSeedsDown starts hosts of which two seeds never run.
func TestSeedsDown(t *testing.T) {
	t.Parallel()
	w := newWorld(3, 8)
	delete(w.cores, address(0))
	delete(w.cores, address(2))
	w.run(8 * time.Second)
	w.wantServing(t, "with one seed", w.peers())
}

func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newWorld(seed, 8)
		w.run(5 * time.Second)
		w.cut[address(5)], w.cut[address(6)] = true, true
		w.run(lossBound)
		w.wantServing(t, "cut off", []string{address(5), address(6)})
		w.cut = make(map[string]bool)
		w.run(6 * time.Second)
		w.wantServing(t, fmt.Sprintf("healed, seed %d", seed), w.peers())
	}
}

func TestLeavingHostIsNotNamed(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 8)
	w.run(5 * time.Second)
	w.post(address(3), w.cores[address(3)].Leave())
	w.run(200 * time.Millisecond)
	want := slices.DeleteFunc(w.peers(), func(p string) bool { return p == address(3) })
	w.wantServing(t, "after it said so", want)
}

// TestFrozenHostRefutes freezes a host until the others hold it for dead.
func TestFrozenHostRefutes(t *testing.T) {
	t.Parallel()
	w := newWorld(2, 8)
	w.run(5 * time.Second)
	w.frozen[address(6)] = true
	w.run(lossBound)
	if got := w.serving(address(1)); slices.Contains(got, address(6)) {
		t.Errorf("got %v while a host stands still, want it left out", got)
	}
	delete(w.frozen, address(6))
	w.run(6 * time.Second)
	w.wantServing(t, "after it has woken up", w.peers())
}

// TestTrafficStaysInTheZone starts 60 hosts in four zones at once and weighs
// what they send when all know each other: hosts at random would be in another
// zone three times out of four.
func TestTrafficStaysInTheZone(t *testing.T) {
	t.Parallel()
	w := newWorld(3, 60)
	w.run(10 * time.Second)
	w.wantServing(t, "after the start", w.peers())
	w.weighed = true
	w.run(20 * time.Second)
	if 2*w.across > w.sent {
		t.Errorf("got %d of %d bytes between zones, want at most half", w.across, w.sent)
	}
}

// TestNewcomerHearsNoOldNews starts a host in a calm cluster: the list of
// members that it gets is not passed on as news, so that the traffic of the
// others is soon as it was.
func TestNewcomerHearsNoOldNews(t *testing.T) {
	t.Parallel()
	w := newWorld(4, 60)
	w.run(60 * time.Second)
	w.weighed = true
	w.run(5 * time.Second)
	calm := w.sent
	w.weighed = false
	w.start(address(60), 500)
	w.run(2 * time.Second)
	w.weighed, w.sent = true, 0
	w.run(5 * time.Second)
	if w.sent > calm*3/2 {
		t.Errorf("got %d bytes in 5 s after a newcomer, %d before, want half as much more at most", w.sent, calm)
	}
}

// TestRandomSchedules kills, starts, cuts and freezes at random, then checks
// that the hosts agree when all is calm, and that no incarnation went back.
func TestRandomSchedules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		w := newWorld(seed, 8)
		w.loss = 0.02
		beliefs := make(map[*membership.Protocol]map[string]magnoliashore.Incarnation)
		next := uint64(1000)
		for range 30 {
			w.step(&next)
			w.run(time.Duration(w.random.IntN(2500)) * time.Millisecond)
			w.wantNoneGoBack(t, seed, beliefs)
		}
		w.cut, w.frozen = make(map[string]bool), make(map[string]bool)
		w.run(lossBound + 5*time.Second)
		w.wantServing(t, fmt.Sprintf("seed %d", seed), w.peers())
	}
}

// wantNoneGoBack checks that no host believes in a lower incarnation of another
// one than it did before.
func (w *world) wantNoneGoBack(t *testing.T, seed uint64, beliefs map[*membership.Protocol]map[string]magnoliashore.Incarnation) {
	t.Helper()
	for peer, core := range w.cores {
		if beliefs[core] == nil {
			beliefs[core] = make(map[string]magnoliashore.Incarnation)
		}
		for _, m := range core.Members() {
			if got, want := m.Incarnation(), beliefs[core][m.Peer()]; got < want {
				t.Errorf("seed %d: host %s believes in incarnation %d of %s, want at least %d", seed, peer, got, m.Peer(), want)
			}
			beliefs[core][m.Peer()] = m.Incarnation()
		}
	}
}

// step does one thing at random.
func (w *world) step(next *uint64) {
	peer := address(w.random.IntN(8))
	_, up := w.cores[peer]
	switch w.random.IntN(5) {
	case 0:
		if len(w.cores) > 2 && peer != address(0) {
			delete(w.cores, peer)
		}
	case 1, 2:
		if !up {
			*next += uint64(w.random.IntN(100))
			w.start(peer, *next-uint64(w.random.IntN(900)))
		}
	case 3:
		w.cut[peer] = !w.cut[peer]
	case 4:
		w.frozen[peer] = !w.frozen[peer]
		if !w.frozen[peer] {
			delete(w.frozen, peer)
		}
	}
}

func TestCodec(t *testing.T) {
	t.Parallel()
	member := membership.NewMember(membership.MemberSpec{
		Host: "h", Zone: "z", Peer: "10.0.0.1:1", Caller: "10.0.0.1:2", Incarnation: 7, State: membership.Suspect,
	})
	want := membership.Message{
		Kind: membership.Probe, Number: 9, From: member, Target: "10.0.0.2:1", News: []membership.Member{member},
	}
	data, err := membership.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := membership.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got.Kind != want.Kind || got.Number != want.Number || got.From != want.From || got.News[0] != member {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, bad := range [][]byte{nil, {0x80}, []byte("GET / HTTP/1.1\r\n")} {
		if _, err := membership.Decode(bad); err == nil {
			t.Errorf("decoding %q: got no error, want one", bad)
		}
	}
}

// TestZoneIsLost has all hosts of one of four zones stop at once, at 60 and 240
// hosts: the others leave them out within the bound for a single one.
func TestZoneIsLost(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{60, 240} {
		w := newWorld(11, hosts)
		w.run(20 * time.Second)
		var left []string
		for _, peer := range w.peers() {
			if zoneOf(peer) == "d" {
				w.frozen[peer] = true
			} else {
				left = append(left, peer)
			}
		}
		w.run(lossBound)
		for _, peer := range left {
			if got := len(w.serving(peer)); got > len(left) {
				t.Errorf("%d hosts: host %s still names %d of the lost zone's, want none", hosts, peer, got-len(left))
			}
		}
	}
}
