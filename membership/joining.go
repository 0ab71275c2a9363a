package membership

import (
	"slices"
)

// listSource returns the host to request the list of members from. It prefers
// hosts of the own zone because the list is long.
func (pr *Protocol) listSource() string {
	all := pr.running()
	local := slices.DeleteFunc(slices.Clone(all), func(address string) bool {
		return pr.peers[address].member.Zone() != pr.Self.Zone
	})
	if len(local) > 0 {
		all = local
	}
	return all[pr.Random.IntN(len(all))]
}

// rejoin sends Joins to seeds that are not running members and to one dead host,
// so that the two sides of a network partition merge again once it heals.
func (pr *Protocol) rejoin() []Packet {
	var packets []Packet
	var lost []string
	for address, p := range pr.peers {
		if !p.member.Runs() {
			lost = append(lost, address)
		}
	}
	if len(lost) > 0 {
		slices.Sort(lost)
		packets = append(packets, pr.newJoin(lost[pr.Random.IntN(len(lost))]))
	}
	for _, seed := range pr.Seeds {
		if p, ok := pr.peers[seed]; seed != pr.Self.Peer && (!ok || !p.member.Runs()) {
			packets = append(packets, pr.newJoin(seed))
		}
	}
	return packets
}

// JoinAlone sends Joins to the seeds while this host knows no other host. It is
// called more often than Tick, since hosts that start together may be up before
// their seeds.
func (pr *Protocol) JoinAlone() []Packet {
	pr.initPeers()
	if !pr.alone() {
		return nil
	}
	return pr.rejoin()
}

func (pr *Protocol) newJoin(to string) Packet {
	p := pr.newPing(to)
	p.Message.Kind = Join
	return p
}

// handleJoin answers a Join with all members, in as many datagrams as needed.
func (pr *Protocol) handleJoin(m Message) []Packet {
	packets := []Packet{pr.newAck(m.From.Peer(), m.Number)}
	all := make([]Member, 0, len(pr.peers))
	for _, p := range pr.peers {
		all = append(all, p.member)
	}
	for part := range slices.Chunk(all, maxUpdatesSent) {
		packets = append(packets, Packet{To: m.From.Peer(), Message: Message{
			Kind: Ack, From: NewMember(pr.Self), Updates: part,
		}})
	}
	return packets
}
