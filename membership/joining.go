package membership

import (
	"slices"
)

// lister returns a host to ask for the list of members: one of the own zone if
// there is one, since the list is long.
func (c *Protocol) lister() string {
	all := c.running()
	home := slices.DeleteFunc(slices.Clone(all), func(address string) bool {
		return c.peers[address].member.Zone() != c.Self.Zone
	})
	if len(home) > 0 {
		all = home
	}
	return all[c.Random.IntN(len(all))]
}

// rejoin greets a seed that is not known to run, and a host that was lost, so
// that the two sides of a healed cut find each other.
func (c *Protocol) rejoin() []Packet {
	var out []Packet
	var lost []string
	for address, p := range c.peers {
		if !p.member.Runs() {
			lost = append(lost, address)
		}
	}
	if len(lost) > 0 {
		slices.Sort(lost)
		out = append(out, c.join(lost[c.Random.IntN(len(lost))]))
	}
	for _, seed := range c.Seeds {
		if p, ok := c.peers[seed]; seed != c.Self.Peer && (!ok || !p.member.Runs()) {
			out = append(out, c.join(seed))
		}
	}
	return out
}

func (c *Protocol) join(to string) Packet {
	p := c.ping(to)
	p.Message.Kind = Join
	return p
}

// welcome answers a Join with all members, in as many datagrams as it takes.
func (c *Protocol) welcome(m Message) []Packet {
	out := []Packet{c.ack(m.From.Peer(), m.Number)}
	all := make([]Member, 0, len(c.peers))
	for _, p := range c.peers {
		all = append(all, p.member)
	}
	for part := range slices.Chunk(all, newsRoom) {
		out = append(out, Packet{To: m.From.Peer(), Message: Message{
			Kind: Ack, From: NewMember(c.Self), News: part,
		}})
	}
	return out
}
