package membership

import (
	"math/bits"
	"slices"
)

// gossip returns datagrams that only carry news, while there is much of it, as
// after the loss of a zone: probes alone would take minutes to spread it.
func (c *Protocol) gossip() []Packet {
	if len(c.queue) <= newsRoom {
		return nil
	}
	var out []Packet
	for _, peer := range c.shuffled() {
		if len(out) == gossips || len(c.queue) <= newsRoom {
			break
		}
		out = append(out, Packet{To: peer, Message: Message{Kind: Ack, From: NewMember(c.Self), News: c.news()}})
	}
	return out
}

// newsFor returns the members to send to a host. One that is suspected or
// held for dead hears of it, so that it can refute.
func (c *Protocol) newsFor(to string) []Member {
	out := c.news()
	if p, ok := c.peers[to]; ok && p.member.State() != Alive {
		out = append(out, p.member)
	}
	return out
}

// publish has a change passed on.
func (c *Protocol) publish(address string) {
	c.queue = slices.DeleteFunc(c.queue, func(n news) bool { return n.peer == address })
	c.queue = append(c.queue, news{peer: address, left: spread * bits.Len(uint(len(c.peers)+1))})
}

// news returns the members to send along: the changes that were sent least,
// then one member at random, so that a lost datagram is made up for.
func (c *Protocol) news() []Member {
	slices.SortStableFunc(c.queue, func(a, b news) int { return b.left - a.left })
	var out []Member
	for i := range min(len(c.queue), newsRoom-1) {
		c.queue[i].left--
		if m, ok := c.member(c.queue[i].peer); ok {
			out = append(out, m)
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(n news) bool { return n.left <= 0 })
	if all := c.running(); len(all) > 0 {
		out = append(out, c.peers[all[c.Random.IntN(len(all))]].member)
	}
	return out
}
