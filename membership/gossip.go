package membership

import (
	"math/bits"
	"slices"
)

// gossip returns datagrams that carry only updates, as long as more updates are
// queued than fit one datagram. After the loss of a zone, the updates sent along
// with probes alone would take minutes to spread.
func (pr *Protocol) gossip() []Packet {
	if len(pr.queue) <= maxUpdatesSent {
		return nil
	}
	var packets []Packet
	for _, peer := range pr.shuffled() {
		if len(packets) == gossipFanout || len(pr.queue) <= maxUpdatesSent {
			break
		}
		packets = append(packets, Packet{To: peer, Message: Message{Kind: Ack, From: NewMember(pr.Self), Updates: pr.updates()}})
	}
	return packets
}

// updatesFor returns the updates to send to a host. A host that is suspect,
// leaving or dead receives its own state as well, so that it can refute it.
func (pr *Protocol) updatesFor(to string) []Member {
	members := pr.updates()
	if p, ok := pr.peers[to]; ok && p.member.State() != Alive {
		members = append(members, p.member)
	}
	return members
}

// enqueue queues a member to be gossiped.
func (pr *Protocol) enqueue(address string) {
	pr.queue = slices.DeleteFunc(pr.queue, func(u update) bool { return u.peer == address })
	pr.queue = append(pr.queue, update{peer: address, remaining: retransmitFactor * bits.Len(uint(len(pr.peers)+1))})
}

// updates returns the updates to send in one datagram: the least sent ones of the
// queue, then a random member, which makes up for lost datagrams.
func (pr *Protocol) updates() []Member {
	slices.SortStableFunc(pr.queue, func(a, b update) int { return b.remaining - a.remaining })
	var members []Member
	for i := range min(len(pr.queue), maxUpdatesSent-1) {
		pr.queue[i].remaining--
		if m, ok := pr.member(pr.queue[i].peer); ok {
			members = append(members, m)
		}
	}
	pr.queue = slices.DeleteFunc(pr.queue, func(u update) bool { return u.remaining <= 0 })
	if all := pr.running(); len(all) > 0 {
		members = append(members, pr.peers[all[pr.Random.IntN(len(all))]].member)
	}
	return members
}
