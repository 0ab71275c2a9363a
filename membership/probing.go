package membership

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// overdue asks others to probe hosts that did not answer, and suspects those
// that did not answer them either.
func (c *Protocol) overdue(now time.Time) []Packet {
	var out []Packet
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool {
		return now.Sub(p.sent) > 2*c.Config.Timeout+c.Config.Period
	})
	for i := range c.probes {
		p := &c.probes[i]
		late := now.Sub(p.sent)
		if p.asker != "" || late < c.Config.Timeout {
			continue
		}
		if !p.helped {
			p.helped = true
			out = append(out, c.askOthers(p)...)
		}
		if late >= 2*c.Config.Timeout {
			c.suspect(now, p.peer)
		}
	}
	return out
}

func (c *Protocol) askOthers(p *probe) []Packet {
	var out []Packet
	for _, peer := range c.shuffled() {
		if len(out) == helpers {
			break
		}
		if peer == p.peer {
			continue
		}
		out = append(out, Packet{To: peer, Message: Message{
			Kind: Probe, Number: p.number, From: NewMember(c.Self), Target: p.peer, News: c.news(),
		}})
	}
	return out
}

func (c *Protocol) suspect(now time.Time, address string) {
	p, ok := c.peers[address]
	if ok && p.member.State() == Alive {
		c.set(now, p.member.with(Suspect))
	}
	if ok && p.member.State() == Leaving {
		c.set(now, p.member.with(Dead))
	}
}

// age turns suspects into dead ones and forgets those dead for long.
func (c *Protocol) age(now time.Time) {
	for address, p := range c.peers {
		switch {
		case p.member.State() == Suspect && now.Sub(p.since) >= c.Config.Suspect:
			c.set(now, p.member.with(Dead))
		case p.member.State() == Dead && now.Sub(p.since) >= c.Config.Forget:
			delete(c.peers, address)
		}
	}
}

// next returns the next host to probe; empty if there is none.
func (c *Protocol) next() string {
	if len(c.urgent) > 0 {
		c.order = append(c.urgent, c.order...)
		c.urgent = nil
	}
	for range 2 {
		for len(c.order) > 0 {
			address := c.order[0]
			c.order = c.order[1:]
			if p, ok := c.peers[address]; ok && p.member.Runs() {
				return address
			}
		}
		c.order = c.round()
	}
	return ""
}

// round returns the hosts to probe next, in random order: those of the own
// zone, and some of other zones. Each host is probed often by the hosts of its
// own zone, and the bytes between zones stay few.
func (c *Protocol) round() []string {
	all := c.shuffled()
	home := 0
	for _, address := range all {
		if c.peers[address].member.Zone() == c.Self.Zone {
			home++
		}
	}
	away := max(foreign, home/homeShare)
	return slices.DeleteFunc(all, func(address string) bool {
		if c.peers[address].member.Zone() == c.Self.Zone {
			return false
		}
		away--
		return away < 0
	})
}

// hurry has another host of a zone probed next, since a zone is often lost as
// a whole.
func (c *Protocol) hurry(zone magnoliashore.ZoneName) {
	if zone == c.Self.Zone || len(c.urgent) >= mostUrgent {
		return
	}
	for range urgentTries {
		all := c.running()
		if len(all) == 0 {
			return
		}
		peer := all[c.Random.IntN(len(all))]
		if p := c.peers[peer].member; p.Zone() == zone && p.State() == Alive {
			c.urgent = append(c.urgent, peer)
			return
		}
	}
}

func (c *Protocol) ping(to string) Packet {
	c.number++
	return Packet{To: to, Message: Message{
		Kind: Ping, Number: c.number, From: NewMember(c.Self), News: c.newsFor(to),
	}}
}

func (c *Protocol) ack(to string, number uint64) Packet {
	return Packet{To: to, Message: Message{
		Kind: Ack, Number: number, From: NewMember(c.Self), News: c.newsFor(to),
	}}
}

// acked ends the probe that an Ack answers, and passes the Ack on if the
// probe was another host's.
func (c *Protocol) acked(m Message) []Packet {
	i := slices.IndexFunc(c.probes, func(p probe) bool { return p.number == m.Number })
	if i < 0 || m.Number == 0 {
		return nil
	}
	p := c.probes[i]
	c.probes = slices.Delete(c.probes, i, i+1)
	if p.asker == "" {
		return nil
	}
	return []Packet{c.ack(p.asker, p.theirs)}
}
