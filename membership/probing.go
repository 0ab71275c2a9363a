package membership

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// checkProbes requests indirect probes of hosts that did not answer in time, and
// suspects those that did not answer these either.
func (pr *Protocol) checkProbes(now time.Time) []Packet {
	var packets []Packet
	pr.probes = slices.DeleteFunc(pr.probes, func(p probe) bool {
		return now.Sub(p.sent) > 2*pr.Config.ProbeTimeout+pr.Config.ProbeInterval
	})
	for i := range pr.probes {
		p := &pr.probes[i]
		late := now.Sub(p.sent)
		if p.requester != "" || late < pr.Config.ProbeTimeout {
			continue
		}
		if !p.indirect {
			p.indirect = true
			packets = append(packets, pr.probeIndirectly(p)...)
		}
		if late >= 2*pr.Config.ProbeTimeout {
			pr.suspect(now, p.peer)
		}
	}
	return packets
}

func (pr *Protocol) probeIndirectly(p *probe) []Packet {
	var packets []Packet
	for _, peer := range pr.shuffled() {
		if len(packets) == indirectProbes {
			break
		}
		if peer == p.peer {
			continue
		}
		packets = append(packets, Packet{To: peer, Message: Message{
			Kind: Probe, Number: p.number, From: NewMember(pr.Self), Target: p.peer, Updates: pr.updates(),
		}})
	}
	return packets
}

func (pr *Protocol) suspect(now time.Time, address string) {
	p, ok := pr.peers[address]
	if ok && p.member.State() == Alive {
		pr.storeAndGossip(now, p.member.withState(Suspect))
	}
	if ok && p.member.State() == Leaving {
		pr.storeAndGossip(now, p.member.withState(Dead))
	}
}

// expire declares suspects dead after SuspicionTimeout and removes dead hosts
// after DeadRetention.
func (pr *Protocol) expire(now time.Time) {
	for address, p := range pr.peers {
		switch {
		case p.member.State() == Suspect && now.Sub(p.stateSince) >= pr.Config.SuspicionTimeout:
			pr.storeAndGossip(now, p.member.withState(Dead))
		case p.member.State() == Dead && now.Sub(p.stateSince) >= pr.Config.DeadRetention:
			delete(pr.peers, address)
		}
	}
}

// nextProbe returns the next host to probe; empty if there is none.
func (pr *Protocol) nextProbe() string {
	if len(pr.urgent) > 0 {
		pr.unprobed = append(pr.urgent, pr.unprobed...)
		pr.urgent = nil
	}
	for range 2 {
		for len(pr.unprobed) > 0 {
			address := pr.unprobed[0]
			pr.unprobed = pr.unprobed[1:]
			if p, ok := pr.peers[address]; ok && p.member.Runs() {
				return address
			}
		}
		pr.unprobed = pr.newRound()
	}
	return ""
}

// newRound returns the hosts to probe next in random order: all of the own zone
// and some of other zones. Each host is thus probed often from within its zone
// while little traffic crosses zones.
func (pr *Protocol) newRound() []string {
	all := pr.shuffled()
	local := 0
	for _, address := range all {
		if pr.peers[address].member.Zone() == pr.Self.Zone {
			local++
		}
	}
	remote := max(minRemoteProbes, local/localPerRemote)
	return slices.DeleteFunc(all, func(address string) bool {
		if pr.peers[address].member.Zone() == pr.Self.Zone {
			return false
		}
		remote--
		return remote < 0
	})
}

// probeZoneNext schedules an early probe of another host of a zone, since a zone
// often fails as a whole.
func (pr *Protocol) probeZoneNext(zone magnoliashore.ZoneName) {
	if zone == pr.Self.Zone || len(pr.urgent) >= maxUrgent {
		return
	}
	for range urgentSamples {
		all := pr.running()
		if len(all) == 0 {
			return
		}
		peer := all[pr.Random.IntN(len(all))]
		if p := pr.peers[peer].member; p.Zone() == zone && p.State() == Alive {
			pr.urgent = append(pr.urgent, peer)
			return
		}
	}
}

func (pr *Protocol) newPing(to string) Packet {
	pr.number++
	return Packet{To: to, Message: Message{
		Kind: Ping, Number: pr.number, From: NewMember(pr.Self), Updates: pr.updatesFor(to),
	}}
}

func (pr *Protocol) newAck(to string, number uint64) Packet {
	return Packet{To: to, Message: Message{
		Kind: Ack, Number: number, From: NewMember(pr.Self), Updates: pr.updatesFor(to),
	}}
}

// handleAck completes the probe that an Ack answers. If another host requested
// the probe, it forwards the Ack.
func (pr *Protocol) handleAck(m Message) []Packet {
	i := slices.IndexFunc(pr.probes, func(p probe) bool { return p.number == m.Number })
	if i < 0 || m.Number == 0 {
		return nil
	}
	p := pr.probes[i]
	pr.probes = slices.Delete(pr.probes, i, i+1)
	if p.requester == "" {
		return nil
	}
	return []Packet{pr.newAck(p.requester, p.requesterNumber)}
}
