package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
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

// Core decides who is a member. It reads no clock and sends nothing. It is
// not safe for concurrent use.
type Core struct {
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
func (c *Core) Members() []Member {
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
func (c *Core) Leave() []Packet {
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
func (c *Core) Tick(now time.Time) []Packet {
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

func (c *Core) prepare() {
	if c.peers == nil {
		c.peers = make(map[string]*peer)
	}
}

// thaw gives others the time that this process did not run.
func (c *Core) thaw(now time.Time) {
	gap := now.Sub(c.last)
	if !c.last.IsZero() && gap > freezeTicks*c.Config.Period {
		c.probes = nil
		for _, p := range c.peers {
			p.since = p.since.Add(gap)
		}
	}
	c.last = now
}

// overdue asks others to probe hosts that did not answer, and suspects those
// that did not answer them either.
func (c *Core) overdue(now time.Time) []Packet {
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

func (c *Core) askOthers(p *probe) []Packet {
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

func (c *Core) suspect(now time.Time, address string) {
	p, ok := c.peers[address]
	if ok && p.member.State() == Alive {
		c.set(now, p.member.with(Suspect))
	}
	if ok && p.member.State() == Leaving {
		c.set(now, p.member.with(Dead))
	}
}

// age turns suspects into dead ones and forgets those dead for long.
func (c *Core) age(now time.Time) {
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
func (c *Core) next() string {
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
func (c *Core) round() []string {
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

// running returns the running hosts in order.
func (c *Core) running() []string {
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
func (c *Core) shuffled() []string {
	addresses := slices.Clone(c.running())
	c.Random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses
}

// gossip returns datagrams that only carry news, while there is much of it, as
// after the loss of a zone: probes alone would take minutes to spread it.
func (c *Core) gossip() []Packet {
	var out []Packet
	for _, peer := range c.shuffled() {
		if len(out) == gossips || len(c.queue) <= newsRoom {
			break
		}
		out = append(out, Packet{To: peer, Message: Message{Kind: Ack, From: NewMember(c.Self), News: c.news()}})
	}
	return out
}

// lister returns a host to ask for the list of members: one of the own zone if
// there is one, since the list is long.
func (c *Core) lister() string {
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
func (c *Core) rejoin() []Packet {
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

// alone reports whether no other host is known to run.
func (c *Core) alone() bool { return len(c.running()) == 0 }

func (c *Core) join(to string) Packet {
	p := c.ping(to)
	p.Message.Kind = Join
	return p
}

func (c *Core) ping(to string) Packet {
	c.number++
	return Packet{To: to, Message: Message{
		Kind: Ping, Number: c.number, From: NewMember(c.Self), News: c.newsFor(to),
	}}
}

// newsFor returns the members to send to a host. One that is suspected or
// held for dead hears of it, so that it can refute.
func (c *Core) newsFor(to string) []Member {
	out := c.news()
	if p, ok := c.peers[to]; ok && p.member.State() != Alive {
		out = append(out, p.member)
	}
	return out
}

// Receive takes a message.
func (c *Core) Receive(now time.Time, m Message) []Packet {
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

func (c *Core) ack(to string, number uint64) Packet {
	return Packet{To: to, Message: Message{
		Kind: Ack, Number: number, From: NewMember(c.Self), News: c.newsFor(to),
	}}
}

// welcome answers a Join with all members, in as many datagrams as it takes.
func (c *Core) welcome(m Message) []Packet {
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

// acked ends the probe that an Ack answers, and passes the Ack on if the
// probe was another host's.
func (c *Core) acked(m Message) []Packet {
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

// learn takes a belief of another host, which is passed on if it is news.
func (c *Core) learn(now time.Time, m Member, isNews bool) {
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
func (c *Core) refute(m Member) {
	same := m.Incarnation() == c.Self.Incarnation && m.State() <= c.Self.State
	if m.Incarnation() < c.Self.Incarnation || same {
		return
	}
	c.Self.Incarnation = m.Incarnation() + 1
	c.publish(c.Self.Peer)
}

// set takes a belief and passes it on.
func (c *Core) set(now time.Time, m Member) {
	c.put(now, m)
	c.publish(m.Peer())
	if m.State() == Suspect || m.State() == Dead {
		c.hurry(m.Zone())
	}
}

// hurry has another host of a zone probed next, since a zone is often lost as
// a whole.
func (c *Core) hurry(zone magnoliashore.ZoneName) {
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

func (c *Core) put(now time.Time, m Member) {
	c.roster = nil
	c.peers[m.Peer()] = &peer{member: m, since: now}
}

// publish has a change passed on.
func (c *Core) publish(address string) {
	c.queue = slices.DeleteFunc(c.queue, func(n news) bool { return n.peer == address })
	c.queue = append(c.queue, news{peer: address, left: spread * bits.Len(uint(len(c.peers)+1))})
}

// news returns the members to send along: the changes that were sent least,
// then one member at random, so that a lost datagram is made up for.
func (c *Core) news() []Member {
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

func (c *Core) member(address string) (Member, bool) {
	if address == c.Self.Peer {
		return NewMember(c.Self), true
	}
	p, ok := c.peers[address]
	if !ok {
		return Member{}, false
	}
	return p.member, true
}
