package membership

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/ring"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	inboxSize = 256 // datagrams received and not yet handled
	// Time between two rounds of Joins of a host that has just started and found
	// no other host, and the number of these rounds.
	joinRetryInterval = 50 * time.Millisecond
	maxJoinRetries    = 60
)

// Node runs a Protocol over UDP. Set the exported fields before Run.
type Node struct {
	Protocol *Protocol
	Address  string // ip:port to listen on; default Protocol.Self.Peer
	Timer    *timer.Service
	Log      log.Interface
	// OnChange is called from the goroutine of Run after a member changed; may be
	// nil.
	OnChange func(members []Member)
	// OnNotice receives the notices of other hosts, on the goroutine that reads the
	// socket. It must not block or keep data; may be nil.
	OnNotice func(data []byte)

	members atomic.Pointer[[]Member]
	leave   chan struct{}
	cut     chan bool
	seeds   chan []string
	leaving atomic.Bool
	logged  map[string]Member
	socket  *net.UDPConn
}

// Members returns the members that are not dead, this host first.
func (n *Node) Members() []Member {
	if m := n.members.Load(); m != nil {
		return *m
	}
	return []Member{NewMember(n.Protocol.Self)}
}

// Listen opens the socket at the node's peer address.
func (n *Node) Listen() error {
	n.leave = make(chan struct{}, 1)
	n.seeds = make(chan []string, 1)
	n.cut = make(chan bool, 1)
	listen := n.Address
	if listen == "" {
		listen = n.Protocol.Self.Peer
	}
	address, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return magnoliashore.Step(err, "resolve the membership address", listen)
	}
	n.socket, err = net.ListenUDP("udp4", address)
	return magnoliashore.Step(err, "listen for membership", listen)
}

// Leave announces that this host accepts no more callers.
func (n *Node) Leave() {
	if n.leaving.CompareAndSwap(false, true) {
		n.leave <- struct{}{}
	}
}

// SetCut announces whether this host is cut off from targets.
func (n *Node) SetCut(cut bool) {
	select {
	case <-n.cut: // discard an older value that Run has not read yet
	default:
	}
	n.cut <- cut
}

// SetSeeds replaces the hosts to join by.
func (n *Node) SetSeeds(seeds []string) {
	select {
	case <-n.seeds: // discard an older list that Run has not read yet
	default:
	}
	n.seeds <- seeds
}

// Run runs the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.socket.Close() }()
	received := ring.New[Message](inboxSize)
	go n.read(received)
	ticks := n.Timer.Every(n.Protocol.Config.ProbeInterval)
	defer ticks.Stop()
	joins := n.Timer.Every(joinRetryInterval)
	defer joins.Stop()
	joinRetries := 0
	n.logged = make(map[string]Member)
	n.send(n.Protocol.Tick(n.Timer.Now()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-received.Items():
			n.send(n.Protocol.Receive(n.Timer.Now(), m))
		case <-ticks.C:
			n.send(n.Protocol.Tick(n.Timer.Now()))
		case <-joins.C:
			packets := n.Protocol.JoinAlone()
			n.send(packets)
			joinRetries++
			if len(packets) == 0 || joinRetries == maxJoinRetries {
				joins.Stop()
			}
		case seeds := <-n.seeds:
			n.Protocol.Seeds = seeds
		case cut := <-n.cut:
			n.send(n.Protocol.SetCut(cut))
		case <-n.leave:
			n.send(n.Protocol.Leave())
		}
		n.publish()
	}
}

// read queues received datagrams until the socket is closed. It drops datagrams
// while the queue is full, as the network may.
func (n *Node) read(received *ring.Ring[Message]) {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A stopped host may reject a datagram; the next read reports the
			// rejection.
			n.Log.WithError(err).Debug("failed to read from the membership socket")
			continue
		}
		if size > 0 && buffer[0] == noticeMark {
			if n.OnNotice != nil {
				n.OnNotice(buffer[1:size])
			}
			continue
		}
		m, err := Decode(buffer[:size])
		if err != nil {
			n.Log.WithError(err).Warn("ignoring a malformed membership datagram")
			continue
		}
		received.Push(m)
	}
}

// noticeMark begins a datagram that carries a notice. No membership message begins
// with it: each is a CBOR array.
const noticeMark = 0

// Notify sends a notice to a host. It may be lost like any datagram.
func (n *Node) Notify(peer string, data []byte) error {
	if len(data) >= maxDatagram {
		return errors.Newf("a notice of %d bytes does not fit a datagram of %d", len(data), maxDatagram)
	}
	to, err := netip.ParseAddrPort(peer)
	if err != nil {
		return errors.Wrapf(err, "parsing the address %q", peer)
	}
	_, err = n.socket.WriteToUDPAddrPort(append([]byte{noticeMark}, data...), to)
	return errors.Wrapf(err, "sending a notice to %s", peer)
}

func (n *Node) send(packets []Packet) {
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.To)
		if err != nil {
			n.Log.WithError(err).WithField("peer", p.To).Warn("member has an invalid address")
			continue
		}
		data, err := Encode(p.Message)
		if err != nil {
			n.Log.WithError(err).Error("failed to encode a membership message")
			continue
		}
		if _, err := n.socket.WriteToUDPAddrPort(data, to); err != nil {
			n.Log.WithError(err).WithField("peer", p.To).Debug("failed to send a membership message")
		}
	}
}

// publish stores the current members for Members and logs the changes.
func (n *Node) publish() {
	members := n.Protocol.Members()
	if old := n.members.Load(); old != nil && equal(*old, members) {
		return
	}
	n.members.Store(&members)
	n.logChanges(members)
	if n.OnChange != nil {
		n.OnChange(members)
	}
}

func (n *Node) logChanges(members []Member) {
	current := make(map[string]Member, len(members))
	for _, m := range members[1:] {
		current[m.Peer()] = m
		if old, ok := n.logged[m.Peer()]; !ok || old != m {
			n.logMember(m, m.State().String())
		}
	}
	for address, old := range n.logged {
		if _, ok := current[address]; !ok {
			n.logMember(old, Dead.String())
		}
	}
	n.logged = current
}

func (n *Node) logMember(m Member, state string) {
	n.Log.WithFields(log.Fields{
		"peer": m.Peer(), "member": string(m.Host()), "incarnation": uint64(m.Incarnation()), "state": state, "cut": m.Cut(),
	}).Info("member changed")
}

func equal(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// DefaultConfig returns timeouts that detect a lost host within a few seconds.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    400 * time.Millisecond, // keeps traffic below the budget of 7 KB/s
		ProbeTimeout:     300 * time.Millisecond, // a hundred round trips within a region
		SuspicionTimeout: 1500 * time.Millisecond,
		DeadRetention:    2 * time.Minute, // longer than a network partition lasts
	}
}
