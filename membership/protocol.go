package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	indirectProbes   = 2  // hosts asked to probe a host that did not answer
	maxUpdatesSent   = 16 // per datagram; keeps datagrams below 1,200 bytes
	gossipFanout     = 2  // extra datagrams per tick while the queued updates exceed one datagram
	retransmitFactor = 2  // an update is sent this many times log2 of the number of hosts
	minRemoteProbes  = 8  // least number of hosts of other zones in a probe round
	localPerRemote   = 3  // in a large zone, hosts of the own zone per host of other zones in a probe round
	suspendedTicks   = 4  // missed ticks in a row that indicate that this process was suspended
	joinInterval     = 5  // ticks between two Joins to a seed or a dead host; a host without peers sends one each tick
	maxAnnouncements = 16 // hosts that are told directly when this host leaves or is cut off
	maxUrgent        = 4  // hosts that are probed ahead of the current round
	urgentSamples    = 8  // hosts sampled to find one of a given zone

	// Tick at which the list of members is requested a second time; each further
	// request follows at twice the tick of the one before. One list is not
	// enough because hosts that start together are not all in the first.
	relistTicks = 10
)

// listWindow is the time after joining in which the members in an Ack without a
// number count as the list that a new host receives. Several seeds may send one.
const listWindow = 5 * time.Second

// Config holds the timeouts of a Protocol.
type Config struct {
	ProbeInterval    time.Duration // time between two probes
	ProbeTimeout     time.Duration // time for the answer to a probe
	SuspicionTimeout time.Duration // time from suspect to dead
	DeadRetention    time.Duration // time for which a dead host is remembered and sent Joins
}

// peer is another host and the time of its last change.
type peer struct {
	member     Member
	stateSince time.Time
}

// update is a change that is still being gossiped.
type update struct {
	peer      string
	remaining int // datagrams to send it in
}

// probe is a Ping without an Ack so far.
type probe struct {
	number          uint64
	peer            string
	sent            time.Time
	indirect        bool   // other hosts were asked to probe the peer
	requester       string // host that requested the probe; empty for a probe of this host
	requesterNumber uint64 // number of the requester's probe
}

// Protocol is the state machine of a SWIM-like gossip protocol. It reads no
// clock and sends nothing itself: its methods return the packets to send. It is
// not safe for concurrent use.
type Protocol struct {
	Self   MemberSpec // Incarnation is raised to refute outdated or wrong updates
	Seeds  []string   // ip:port of hosts that receive the first Joins
	Config Config
	Random *rand.Rand

	peers    map[string]*peer
	roster   []string // sorted addresses of running peers; nil if outdated
	queue    []update
	unprobed []string // peers not yet probed in this round
	urgent   []string // peers to probe before those
	probes   []probe
	number   uint64
	ticks    int
	relists  int // requests for the list of members after the first one
	lastTick time.Time
	joinedAt time.Time // when the first peer was found after having none
}

// Members returns the members that are not dead, this host first.
func (pr *Protocol) Members() []Member {
	members := make([]Member, 0, len(pr.peers)+1)
	members = append(members, NewMember(pr.Self))
	for _, p := range pr.peers {
		if p.member.Runs() {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members[1:], func(a, b Member) int {
		if a.Peer() < b.Peer() {
			return -1
		}
		return 1
	})
	return members
}

// Leave announces that this host accepts no more callers.
func (pr *Protocol) Leave() []Packet {
	pr.Self.State = Leaving
	return pr.announce()
}

// SetCut announces whether this host is cut off from targets.
func (pr *Protocol) SetCut(cut bool) []Packet {
	if pr.Self.Cut == cut {
		return nil
	}
	pr.Self.Cut = cut
	pr.Self.Incarnation++ // overrides what others know of this host
	return pr.announce()
}

// announce gossips the state of this host, and tells some hosts at once.
func (pr *Protocol) announce() []Packet {
	pr.initPeers()
	pr.enqueue(pr.Self.Peer)
	var packets []Packet
	for _, p := range pr.peers {
		if p.member.Runs() && len(packets) < maxAnnouncements {
			packets = append(packets, pr.newPing(p.member.Peer()))
		}
	}
	return packets
}

// Tick advances the protocol. Call it once per ProbeInterval.
func (pr *Protocol) Tick(now time.Time) []Packet {
	pr.initPeers()
	pr.skipSuspension(now)
	pr.ticks++
	packets := pr.checkProbes(now)
	pr.expire(now)
	if next := pr.nextProbe(); next != "" {
		p := pr.newPing(next)
		pr.probes = append(pr.probes, probe{number: p.Message.Number, peer: next, sent: now})
		packets = append(packets, p)
	}
	if pr.ticks%joinInterval == 1 || pr.alone() {
		packets = append(packets, pr.rejoin()...)
	}
	packets = append(packets, pr.gossip()...)
	if pr.ticks >= relistTicks<<pr.relists && !pr.alone() {
		pr.relists++
		packets = append(packets, pr.newJoin(pr.listSource()))
	}
	return packets
}

func (pr *Protocol) initPeers() {
	if pr.peers == nil {
		pr.peers = make(map[string]*peer)
	}
}

// skipSuspension detects that this process was suspended and excludes that time
// from the timeouts of other hosts.
func (pr *Protocol) skipSuspension(now time.Time) {
	gap := now.Sub(pr.lastTick)
	if !pr.lastTick.IsZero() && gap > suspendedTicks*pr.Config.ProbeInterval {
		pr.probes = nil
		for _, p := range pr.peers {
			p.stateSince = p.stateSince.Add(gap)
		}
	}
	pr.lastTick = now
}

// running returns the sorted addresses of the running peers.
func (pr *Protocol) running() []string {
	if pr.roster != nil {
		return pr.roster
	}
	pr.roster = make([]string, 0, len(pr.peers))
	for address, p := range pr.peers {
		if p.member.Runs() {
			pr.roster = append(pr.roster, address)
		}
	}
	slices.Sort(pr.roster)
	return pr.roster
}

// shuffled returns the addresses of the running peers in random order.
func (pr *Protocol) shuffled() []string {
	addresses := slices.Clone(pr.running())
	pr.Random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses
}

// alone reports whether there is no running peer.
func (pr *Protocol) alone() bool { return len(pr.running()) == 0 }

// Receive handles a message and returns the replies.
func (pr *Protocol) Receive(now time.Time, m Message) []Packet {
	pr.initPeers()
	alone := pr.alone()
	pr.applyUpdate(now, m.From, true)
	if alone && !pr.alone() {
		pr.joinedAt = now
	}
	// The list of members sent to a new host is already known to the others.
	listing := m.Kind == Ack && m.Number == 0 && now.Sub(pr.joinedAt) < listWindow
	for _, member := range m.Updates {
		pr.applyUpdate(now, member, !listing)
	}
	switch m.Kind {
	case Ping:
		return []Packet{pr.newAck(m.From.Peer(), m.Number)}
	case Join:
		return pr.handleJoin(m)
	case Ack:
		return pr.handleAck(m)
	case Probe:
		p := pr.newPing(m.Target)
		pr.probes = append(pr.probes, probe{
			number: p.Message.Number, peer: m.Target, sent: now, requester: m.From.Peer(), requesterNumber: m.Number,
		})
		return []Packet{p}
	}
	return nil
}

// applyUpdate applies a received update if it is newer than the current state,
// and gossips it if forward is set.
func (pr *Protocol) applyUpdate(now time.Time, m Member, forward bool) {
	if m.Peer() == "" {
		return
	}
	if m.Peer() == pr.Self.Peer {
		pr.refute(m)
		return
	}
	p, ok := pr.peers[m.Peer()]
	if !ok && !m.Runs() {
		return
	}
	if ok && !m.overrides(p.member) {
		return
	}
	if forward {
		pr.storeAndGossip(now, m)
		return
	}
	pr.store(now, m)
}

// refute raises the incarnation of this host if an update is about a former
// process at this address, or declares this one suspect or dead.
func (pr *Protocol) refute(m Member) {
	same := m.Incarnation() == pr.Self.Incarnation && m.State() <= pr.Self.State
	if m.Incarnation() < pr.Self.Incarnation || same {
		return
	}
	pr.Self.Incarnation = m.Incarnation() + 1
	pr.enqueue(pr.Self.Peer)
}

// storeAndGossip stores a member and gossips it. If the member may be lost, it
// also probes another host of its zone early.
func (pr *Protocol) storeAndGossip(now time.Time, m Member) {
	pr.store(now, m)
	pr.enqueue(m.Peer())
	if m.State() == Suspect || m.State() == Dead {
		pr.probeZoneNext(m.Zone())
	}
}

func (pr *Protocol) store(now time.Time, m Member) {
	pr.roster = nil
	pr.peers[m.Peer()] = &peer{member: m, stateSince: now}
}

func (pr *Protocol) member(address string) (Member, bool) {
	if address == pr.Self.Peer {
		return NewMember(pr.Self), true
	}
	p, ok := pr.peers[address]
	if !ok {
		return Member{}, false
	}
	return p.member, true
}
