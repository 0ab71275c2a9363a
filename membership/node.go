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

const inbox = 256 // datagrams waiting for the core

// Node runs a Protocol over datagrams. Set the exported fields before Run.
type Node struct {
	Protocol *Protocol
	Address  string // ip:port to listen at; empty for that of Core.Self
	Timer    *timer.Service
	Log      log.Interface
	// OnChange is called after a member has changed, from the node's own
	// goroutine; may be nil.
	OnChange func(members []Member)

	members atomic.Pointer[[]Member]
	leave   chan struct{}
	seeds   chan []string
	left    atomic.Bool
	states  map[string]Member
	socket  *net.UDPConn
}

// Members returns the members that are believed to run, this host first.
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
	listen := n.Address
	if listen == "" {
		listen = n.Protocol.Self.Peer
	}
	address, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return magnoliashore.Step(err, "read the address for membership", listen)
	}
	n.socket, err = net.ListenUDP("udp4", address)
	return magnoliashore.Step(err, "listen for membership", listen)
}

// Leave tells the other hosts that callers are not to be sent here any more.
func (n *Node) Leave() {
	if n.left.CompareAndSwap(false, true) {
		n.leave <- struct{}{}
	}
}

// SetSeeds replaces the hosts to join by.
func (n *Node) SetSeeds(seeds []string) {
	select {
	case <-n.seeds: // an older list that was not taken yet
	default:
	}
	n.seeds <- seeds
}

// Run takes part in the membership until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.socket.Close() }()
	received := ring.New[Message](inbox)
	go n.read(received)
	ticks := n.Timer.Every(n.Protocol.Config.Period)
	defer ticks.Stop()
	n.states = make(map[string]Member)
	n.send(n.Protocol.Tick(n.Timer.Now()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-received.Items():
			n.send(n.Protocol.Receive(n.Timer.Now(), m))
		case <-ticks.C:
			n.send(n.Protocol.Tick(n.Timer.Now()))
		case seeds := <-n.seeds:
			n.Protocol.Seeds = seeds
		case <-n.leave:
			n.send(n.Protocol.Leave())
		}
		n.publish()
	}
}

// read moves datagrams to the core until the socket is closed. A full inbox
// drops them, as the network may.
func (n *Node) read(received *ring.Ring[Message]) {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A host that is gone may answer with a rejection, which the
			// socket reports on the next read.
			n.Log.WithError(err).Debug("membership socket reported an error")
			continue
		}
		m, err := Decode(buffer[:size])
		if err != nil {
			n.Log.WithError(err).Warn("ignoring a datagram")
			continue
		}
		received.Push(m)
	}
}

func (n *Node) send(packets []Packet) {
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.To)
		if err != nil {
			n.Log.WithError(err).WithField("peer", p.To).Warn("member has an unusable address")
			continue
		}
		data, err := Encode(p.Message)
		if err != nil {
			n.Log.WithError(err).Error("cannot encode a membership message")
			continue
		}
		if _, err := n.socket.WriteToUDPAddrPort(data, to); err != nil {
			n.Log.WithError(err).WithField("peer", p.To).Debug("membership message was not sent")
		}
	}
}

// publish makes the members visible and logs what has changed.
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
		if old, ok := n.states[m.Peer()]; !ok || old != m {
			n.logMember(m, m.State().String())
		}
	}
	for address, old := range n.states {
		if _, ok := current[address]; !ok {
			n.logMember(old, Dead.String())
		}
	}
	n.states = current
}

func (n *Node) logMember(m Member, state string) {
	n.Log.WithFields(log.Fields{
		"peer": m.Peer(), "member": string(m.Host()), "incarnation": uint64(m.Incarnation()), "state": state,
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

// DefaultConfig returns the usual times of a core that has to notice a lost host
// within a few seconds.
func DefaultConfig() Config {
	return Config{
		Period:  400 * time.Millisecond, // keeps control traffic below the budget of 7 KB/s
		Timeout: 300 * time.Millisecond, // a hundred round trips inside a region
		Suspect: 1500 * time.Millisecond,
		Forget:  2 * time.Minute, // outlasts a network partition
	}
}
