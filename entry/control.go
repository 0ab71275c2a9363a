package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/lease"
	"github.com/magnoliashore/magnoliashore/owner"
	"github.com/magnoliashore/magnoliashore/peer"
	"github.com/magnoliashore/magnoliashore/settings"
)

// missedBeats is how many heartbeats a peer may fail to answer before it
// counts as gone.
const missedBeats = 3

// control is the duty that keeps membership, leases and placement.
type control struct {
	host       *Host
	superseded chan struct{}
	wake       chan struct{}

	mu       sync.Mutex // guards all below, and the lease node
	node     *lease.Node
	members  map[magnoliashore.HostID]*member
	links    map[string]*linked
	roster   []magnoliashore.HostID
	leavers  []magnoliashore.HostID // seats of the roster that is being replaced
	placed   []owner.Member
	layout   magnoliashore.Version
	owned    map[magnoliashore.TargetID]bool // whether the lease is held
	moved    map[magnoliashore.TargetID]bool // owned before, lease not yet given back
	accepted bool
	over     bool

	present   atomic.Pointer[owner.Placement]
	former    atomic.Pointer[owner.Placement] // the placement before the present one
	leased    *owner.Leased
	static    *owner.Static
	ownership magnoliashore.Ownership
}

// member is what is known of one seat.
type member struct {
	info   peer.Info
	beatAt time.Time // of the last heartbeat that it answered
}

// linked is a running link.
type linked struct {
	link *peer.Link
	stop context.CancelFunc
}

func newControl(h *Host, now time.Time) *control {
	c := &control{
		host:       h,
		superseded: make(chan struct{}),
		wake:       make(chan struct{}, 1),
		members:    make(map[magnoliashore.HostID]*member),
		links:      make(map[string]*linked),
		owned:      make(map[magnoliashore.TargetID]bool),
		moved:      make(map[magnoliashore.TargetID]bool),
	}
	c.node = lease.New(lease.Config{
		Self: h.Settings.Host, Incarnation: h.incarnation,
		Term: h.Settings.Lease.Term, Margin: h.Settings.Lease.Margin,
		Roster: lease.NewRoster([]magnoliashore.HostID{h.Settings.Host}, nil),
	}, now)
	c.leased = &owner.Leased{Self: h.Settings.Host, Leases: c.node, Lock: &c.mu}
	c.static = &owner.Static{Self: h.Settings.Host}
	c.ownership = c.leased
	if h.Settings.Policy.Owner == settings.OwnerStatic {
		c.ownership = c.static
	}
	return c
}

// run sends heartbeats and follows the configuration until ctx ends.
func (c *control) run(ctx context.Context) error {
	tick := c.host.Timer.Every(c.host.Settings.Lease.Heartbeat)
	defer tick.Stop()
	defer c.stopLinks()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.host.config.changed:
			c.follow(ctx)
			c.place()
			c.host.workers.refresh()
			c.beat()
		case <-tick.C:
			c.follow(ctx)
			c.place()
			c.letGo(c.host.Timer.Now())
			c.beat()
		case <-c.wake:
			c.place()
			c.letGo(c.host.Timer.Now())
			c.beat()
		}
	}
}

// beatNow makes the duty send a heartbeat without waiting for its time.
func (c *control) beatNow() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// follow brings the links and the roster in line with the published seats.
func (c *control) follow(ctx context.Context) {
	c.followLinks(ctx, c.host.config.seats())
	c.host.config.consult()
	layout := c.host.view().Layout()
	seats := layout.Seats()
	if len(seats) == 0 {
		return
	}
	names := make([]magnoliashore.HostID, 0, len(seats))
	for _, seat := range seats {
		names = append(names, seat.Host())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(names, c.roster) && slices.Equal(layout.Former(), c.leavers) {
		return
	}
	c.roster = names
	c.leavers = slices.Clone(layout.Former())
	c.node.SetRoster(c.host.Timer.Now(), lease.NewRoster(c.roster, c.leavers))
}

func (c *control) followLinks(ctx context.Context, seats []magnoliashore.Seat) {
	wanted := c.wantedLinks(seats)
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if _, ok := wanted[address]; !ok {
			l.stop()
			delete(c.links, address)
		}
	}
	for address, seat := range wanted {
		if _, ok := c.links[address]; !ok {
			c.links[address] = c.startLink(ctx, seat)
		}
	}
}

// wantedLinks returns the seats to dial by address: the published ones, or
// the settings' seeds before there is a layout.
func (c *control) wantedLinks(seats []magnoliashore.Seat) map[string]magnoliashore.Seat {
	wanted := make(map[string]magnoliashore.Seat, len(seats))
	for _, seat := range seats {
		if seat.Host() != c.host.Settings.Host {
			wanted[seat.Peer()] = seat
		}
	}
	if len(seats) > 0 {
		return wanted
	}
	for _, address := range strings.Fields(c.host.Settings.Seeds) {
		wanted[address] = magnoliashore.NewSeat("", "", address, "")
	}
	return wanted
}

func (c *control) startLink(ctx context.Context, seat magnoliashore.Seat) *linked {
	ctx, stop := context.WithCancel(ctx)
	link := &peer.Link{
		Self:        c.host.Settings.Host,
		Seat:        seat,
		Codec:       c.host.codec,
		Timer:       c.host.Timer,
		Traffic:     &c.host.traffic,
		Order:       c.host.events.Order,
		Witness:     c.host.events.Witness,
		OnMalformed: func(err error) { c.host.handler().Malformed(seat.Peer(), err) },
	}
	link.OnHeartbeatReply = func(beat peer.HeartbeatReply) { c.takeBeat(link, beat) }
	link.OnValues = func(values peer.Values) { c.takeValues(seat, values) }
	link.OnConnection = func(up bool) { c.takeState(seat, up) }
	run := func(ctx context.Context) error {
		link.Run(ctx)
		return nil
	}
	go func() { _ = c.host.guard(ctx, duty{"keeping a link to " + seat.Peer(), run}) }()
	return &linked{link: link, stop: stop}
}

func (c *control) stopLinks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.stop()
	}
}

func (c *control) takeState(seat magnoliashore.Seat, up bool) {
	code := event.PeerDown
	if up {
		code = event.PeerUp
		c.beatNow()
	}
	c.host.emit(magnoliashore.EventSpec{Code: code, Peer: string(seat.Host()), Detail: seat.Peer()})
}

func (c *control) takeValues(seat magnoliashore.Seat, values peer.Values) {
	for _, v := range values.List {
		c.host.config.offer(v, string(seat.Host()))
	}
	if values.Hosts != nil {
		c.host.config.offerHosts(*values.Hosts, values.HostsAge)
	}
}

// takeBeat takes in the reply to a heartbeat.
func (c *control) takeBeat(link *peer.Link, beat peer.HeartbeatReply) {
	now := c.host.Timer.Now()
	c.mu.Lock()
	c.node.HandleReply(now, beat.Reply)
	m := c.member(beat.Info.Host)
	if beat.Info.Incarnation >= m.info.Incarnation {
		m.info = beat.Info
		m.beatAt = now
	}
	c.mu.Unlock()
	c.checkSeat()
	if fetch, ok := c.host.config.hear(beat.Info, c.rank(beat.Info.Host), c.rank(c.host.Settings.Host)); ok {
		link.Send(fetch)
	}
}

// takeHeartbeat takes in a peer's heartbeat and returns the reply.
func (c *control) takeHeartbeat(heartbeat peer.Heartbeat) peer.HeartbeatReply {
	now := c.host.Timer.Now()
	c.mu.Lock()
	reply := c.node.HandleRequest(now, heartbeat.Ask)
	m := c.member(heartbeat.Info.Host)
	if heartbeat.Info.Incarnation >= m.info.Incarnation {
		m.info = heartbeat.Info
	}
	c.mu.Unlock()
	c.checkSeat()
	return peer.HeartbeatReply{Info: c.info(), Reply: reply}
}

func (c *control) member(host magnoliashore.HostID) *member {
	m, ok := c.members[host]
	if !ok {
		m = &member{}
		c.members[host] = m
	}
	return m
}

// checkSeat reports when the lease node becomes a grantor, and makes the host
// leave when another process holds its seat.
func (c *control) checkSeat() {
	c.mu.Lock()
	over := c.node.Superseded()
	first := over && !c.over
	c.over = c.over || over
	accepted := !c.accepted && c.node.Ready(c.host.Timer.Now())
	c.accepted = c.accepted || accepted
	c.mu.Unlock()
	if accepted {
		c.host.emit(magnoliashore.EventSpec{Code: event.SeatAccepted})
	}
	if first {
		c.host.emit(magnoliashore.EventSpec{Code: event.Superseded})
		close(c.superseded)
	}
}

// rank returns the place of a host among the seats, or a high number.
func (c *control) rank(host magnoliashore.HostID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.roster, host); i >= 0 {
		return i
	}
	return len(c.roster) + 1
}

func (c *control) info() peer.Info {
	info := peer.Info{
		Host:        c.host.Settings.Host,
		Incarnation: c.host.incarnation,
		Epoch:       c.host.tickets.epoch(),
		Order:       c.host.events.Order(),
		Leaving:     c.host.Leaving(),
		Ready:       c.host.Ready(),
		Queries:     int(c.host.inFlight.Load()),
	}
	c.host.config.fill(&info)
	return info
}

// beat sends one heartbeat to every link.
func (c *control) beat() {
	info := c.info()
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeat := peer.Heartbeat{Info: info, Ask: c.node.NewRequest(c.host.Timer.Now())}
	for _, l := range c.links {
		l.link.Send(heartbeat)
	}
}

// releaseAll gives every promise back with one last heartbeat.
func (c *control) releaseAll() {
	c.mu.Lock()
	keys := make([]lease.Key, 0, len(c.owned))
	for id := range c.owned {
		keys = append(keys, lease.KeyOf(id))
	}
	c.node.Release(c.host.Timer.Now(), keys)
	c.owned = make(map[magnoliashore.TargetID]bool)
	c.mu.Unlock()
	c.beat()
	pause := c.host.Timer.After(c.host.Settings.Lease.Margin)
	defer pause.Stop()
	<-pause.C
}

// link returns the link to a host that has a connection now.
func (c *control) link(host magnoliashore.HostID) (*peer.Link, bool) {
	seat, ok := c.host.view().Layout().Seat(host)
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	l, ok := c.links[seat.Peer()]
	c.mu.Unlock()
	if !ok || !l.link.Connected() {
		return nil, false
	}
	return l.link, true
}
