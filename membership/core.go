package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	helpers     = 2  // hosts asked to probe one that did not answer
	newsRoom    = 16 // members in one datagram; keeps it below 1,200 bytes
	gossips     = 2  // datagrams with news only that a host sends in a tick while its news do not fit one
	spread      = 2  // times log2 of the hosts that a piece of news is sent
	foreign     = 8  // hosts of other zones, at least, that are probed in a round
	homeShare   = 3  // hosts of the own zone for each of other zones in a round, if those are more
	freezeTicks = 4  // ticks missed in a row that mean this process was suspended
	joinEvery   = 5  // ticks between two messages to a seed or a lost host; a host that is alone sends one each tick
	farewells   = 16 // hosts told directly that this one leaves
	mostUrgent  = 4  // hosts that are probed before the others of a round
	urgentTries = 8  // hosts looked at to find one of a zone
	listAgain   = 10 // ticks from the start to the second list of members, from there to the third, and twice as many each time: hosts that started together are not all in the first
)

// listTime is how long after joining members are taken for a part of the list
// that a newcomer gets; several seeds may send it.
const listTime = 5 * time.Second

// Config holds the times of a Core.
type Config struct {
	Period  time.Duration // between two probes
	Timeout time.Duration // for the answer to a probe
	Suspect time.Duration // from suspicion to death
	Forget  time.Duration // from death until the host is no longer tried
}

// peer is a member with what the core keeps beside it.
type peer struct {
	member Member
	since  time.Time // of its state
}

// news is a change that is still being passed on.
type news struct {
	peer string
	left int // datagrams
}

// probe is an unanswered ping.
type probe struct {
	number uint64
	peer   string
	sent   time.Time
	helped bool
	asker  string // the host on whose behalf it was sent; empty if our own
	theirs uint64 // the asker's number
}

// Protocol decides who is a member. It reads no clock and sends nothing. It is
// not safe for concurrent use.
type Protocol struct {
	Self   MemberSpec // Incarnation is raised when others know of a later one
	Seeds  []string   // ip:port of hosts to join by
	Config Config
	Random *rand.Rand

	peers  map[string]*peer
	roster []string // the running hosts in order; nil if it has to be made anew
	queue  []news
	order  []string // peers still to be probed in this round
	urgent []string // peers to be probed before those
	probes []probe
	number uint64
	ticks  int
	lists  int // lists of members asked for after the first
	last   time.Time
	joined time.Time // when the first other host was found after being alone
}

// Members returns all members that are believed to run, this one first.
func (c *Protocol) Members() []Member {
	members := make([]Member, 0, len(c.peers)+1)
	members = append(members, NewMember(c.Self))
	for _, p := range c.peers {
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

// Leave tells others that callers are not to be sent here any more.
func (c *Protocol) Leave() []Packet {
	c.Self.State = Leaving
	c.publish(c.Self.Peer)
	var out []Packet
	for _, p := range c.peers {
		if p.member.Runs() && len(out) < farewells {
			out = append(out, c.ping(p.member.Peer()))
		}
	}
	return out
}

// Tick advances the core; it is to be called once a Period.
func (c *Protocol) Tick(now time.Time) []Packet {
	c.prepare()
	c.thaw(now)
	c.ticks++
	out := c.overdue(now)
	c.age(now)
	if next := c.next(); next != "" {
		p := c.ping(next)
		c.probes = append(c.probes, probe{number: p.Message.Number, peer: next, sent: now})
		out = append(out, p)
	}
	if c.ticks%joinEvery == 1 || c.alone() {
		out = append(out, c.rejoin()...)
	}
	out = append(out, c.gossip()...)
	if c.ticks >= listAgain<<c.lists && !c.alone() {
		c.lists++
		out = append(out, c.join(c.lister()))
	}
	return out
}

func (c *Protocol) prepare() {
	if c.peers == nil {
		c.peers = make(map[string]*peer)
	}
}

// thaw gives others the time that this process did not run.
func (c *Protocol) thaw(now time.Time) {
	gap := now.Sub(c.last)
	if !c.last.IsZero() && gap > freezeTicks*c.Config.Period {
		c.probes = nil
		for _, p := range c.peers {
			p.since = p.since.Add(gap)
		}
	}
	c.last = now
}

// running returns the running hosts in order.
func (c *Protocol) running() []string {
	if c.roster != nil {
		return c.roster
	}
	c.roster = make([]string, 0, len(c.peers))
	for address, p := range c.peers {
		if p.member.Runs() {
			c.roster = append(c.roster, address)
		}
	}
	slices.Sort(c.roster)
	return c.roster
}

// shuffled returns the running hosts in random order.
func (c *Protocol) shuffled() []string {
	addresses := slices.Clone(c.running())
	c.Random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses
}

// alone reports whether no other host is known to run.
func (c *Protocol) alone() bool { return len(c.running()) == 0 }

// Receive takes a message.
func (c *Protocol) Receive(now time.Time, m Message) []Packet {
	c.prepare()
	alone := c.alone()
	c.learn(now, m.From, true)
	if alone && !c.alone() {
		c.joined = now
	}
	// The list of members that a newcomer gets is no news to others.
	listing := m.Kind == Ack && m.Number == 0 && now.Sub(c.joined) < listTime
	for _, member := range m.News {
		c.learn(now, member, !listing)
	}
	switch m.Kind {
	case Ping:
		return []Packet{c.ack(m.From.Peer(), m.Number)}
	case Join:
		return c.welcome(m)
	case Ack:
		return c.acked(m)
	case Probe:
		p := c.ping(m.Target)
		c.probes = append(c.probes, probe{
			number: p.Message.Number, peer: m.Target, sent: now, asker: m.From.Peer(), theirs: m.Number,
		})
		return []Packet{p}
	}
	return nil
}

// learn takes a belief of another host, which is passed on if it is news.
func (c *Protocol) learn(now time.Time, m Member, isNews bool) {
	if m.Peer() == "" {
		return
	}
	if m.Peer() == c.Self.Peer {
		c.refute(m)
		return
	}
	p, ok := c.peers[m.Peer()]
	if !ok && !m.Runs() {
		return
	}
	if ok && !m.overrides(p.member) {
		return
	}
	if isNews {
		c.set(now, m)
		return
	}
	c.put(now, m)
}

// refute overrides a wrong belief about this host: that of a former process
// at this address, or that this one does not run.
func (c *Protocol) refute(m Member) {
	same := m.Incarnation() == c.Self.Incarnation && m.State() <= c.Self.State
	if m.Incarnation() < c.Self.Incarnation || same {
		return
	}
	c.Self.Incarnation = m.Incarnation() + 1
	c.publish(c.Self.Peer)
}

// set takes a belief and passes it on.
func (c *Protocol) set(now time.Time, m Member) {
	c.put(now, m)
	c.publish(m.Peer())
	if m.State() == Suspect || m.State() == Dead {
		c.hurry(m.Zone())
	}
}

func (c *Protocol) put(now time.Time, m Member) {
	c.roster = nil
	c.peers[m.Peer()] = &peer{member: m, since: now}
}

func (c *Protocol) member(address string) (Member, bool) {
	if address == c.Self.Peer {
		return NewMember(c.Self), true
	}
	p, ok := c.peers[address]
	if !ok {
		return Member{}, false
	}
	return p.member, true
}
