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

// maxMissedHeartbeats is the number of heartbeat periods without a reply after
// which a peer counts as unreachable.
const maxMissedHeartbeats = 3

// control maintains the cell's membership, this host's leases and the placement
// of targets on hosts.
type control struct {
	host       *Host
	superseded chan struct{} // closed when another process holds this host's seat
	wake       chan struct{} // requests a heartbeat now

	mu                 sync.Mutex // guards the fields up to supersededReported
	node               *lease.Node
	members            map[magnoliashore.HostID]*member
	links              map[string]*runningLink // by peer address
	roster             []magnoliashore.HostID
	formerRoster       []magnoliashore.HostID          // seats of the roster being replaced
	placedMembers      []owner.Member                  // live members in the current placement
	placedLayout       magnoliashore.Version           // layout of the current placement
	owned              map[magnoliashore.TargetID]bool // owned targets; the value tells whether the lease is held
	pendingRelease     map[magnoliashore.TargetID]bool // targets no longer owned whose lease is not yet released
	seatAccepted       bool                            // the SeatAccepted event was emitted
	supersededReported bool                            // the Superseded event was emitted

	currentPlacement  atomic.Pointer[owner.Placement]
	previousPlacement atomic.Pointer[owner.Placement]
	leased            *owner.Leased
	static            *owner.Static
	ownership         magnoliashore.Ownership
}

// member is the latest state of one seat.
type member struct {
	info        peer.Info
	lastReplyAt time.Time // when its last heartbeat reply arrived
}

// runningLink is a link with the function that stops it.
type runningLink struct {
	link *peer.Link
	stop context.CancelFunc
}

func newControl(h *Host, now time.Time) *control {
	c := &control{
		host:           h,
		superseded:     make(chan struct{}),
		wake:           make(chan struct{}, 1),
		members:        make(map[magnoliashore.HostID]*member),
		links:          make(map[string]*runningLink),
		owned:          make(map[magnoliashore.TargetID]bool),
		pendingRelease: make(map[magnoliashore.TargetID]bool),
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

// run sends heartbeats and applies configuration changes until ctx ends.
func (c *control) run(ctx context.Context) error {
	tick := c.host.Timer.Every(c.host.Settings.Lease.Heartbeat)
	defer tick.Stop()
	defer c.stopLinks()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.host.config.changed:
			c.syncSeats(ctx)
			c.updatePlacement()
			c.host.workers.refresh()
			c.sendHeartbeats()
		case <-tick.C:
			c.syncSeats(ctx)
			c.updatePlacement()
			c.releasePending(c.host.Timer.Now())
			c.sendHeartbeats()
		case <-c.wake:
			c.updatePlacement()
			c.releasePending(c.host.Timer.Now())
			c.sendHeartbeats()
		}
	}
}

// requestHeartbeat makes run send a heartbeat at once.
func (c *control) requestHeartbeat() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// syncSeats updates the links and the roster to the published seats.
func (c *control) syncSeats(ctx context.Context) {
	c.syncLinks(ctx, c.host.config.seats())
	c.host.config.finishBootstrap()
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
	if slices.Equal(names, c.roster) && slices.Equal(layout.Former(), c.formerRoster) {
		return
	}
	c.roster = names
	c.formerRoster = slices.Clone(layout.Former())
	c.node.SetRoster(c.host.Timer.Now(), lease.NewRoster(c.roster, c.formerRoster))
}

func (c *control) syncLinks(ctx context.Context, seats []magnoliashore.Seat) {
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

// wantedLinks returns the seats to dial, by address: the published ones, or the
// seeds of the settings if there is no layout yet.
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

func (c *control) startLink(ctx context.Context, seat magnoliashore.Seat) *runningLink {
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
	link.OnHeartbeatReply = func(reply peer.HeartbeatReply) { c.handleHeartbeatReply(link, reply) }
	link.OnValues = func(values peer.Values) { c.handleValues(seat, values) }
	link.OnConnection = func(up bool) { c.handleLinkState(seat, up) }
	run := func(ctx context.Context) error {
		link.Run(ctx)
		return nil
	}
	go func() { _ = c.host.guard(ctx, duty{"keeping a link to " + seat.Peer(), run}) }()
	return &runningLink{link: link, stop: stop}
}

func (c *control) stopLinks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.stop()
	}
}

func (c *control) handleLinkState(seat magnoliashore.Seat, up bool) {
	code := event.PeerDown
	if up {
		code = event.PeerUp
		c.requestHeartbeat()
	}
	c.host.emit(magnoliashore.EventSpec{Code: code, Peer: string(seat.Host()), Detail: seat.Peer()})
}

func (c *control) handleValues(seat magnoliashore.Seat, values peer.Values) {
	for _, v := range values.List {
		c.host.config.offer(v, string(seat.Host()))
	}
	if values.Hosts != nil {
		c.host.config.offerHosts(*values.Hosts, values.HostsAge)
	}
}

// handleHeartbeatReply processes the reply to a heartbeat.
func (c *control) handleHeartbeatReply(link *peer.Link, reply peer.HeartbeatReply) {
	now := c.host.Timer.Now()
	c.mu.Lock()
	c.node.HandleReply(now, reply.Reply)
	m := c.member(reply.Info.Host)
	if reply.Info.Incarnation >= m.info.Incarnation {
		m.info = reply.Info
		m.lastReplyAt = now
	}
	c.mu.Unlock()
	c.checkSeat()
	if fetch, ok := c.host.config.handleInfo(reply.Info, c.seatRank(reply.Info.Host), c.seatRank(c.host.Settings.Host)); ok {
		link.Send(fetch)
	}
}

// handleHeartbeat processes a peer's heartbeat and returns the reply.
func (c *control) handleHeartbeat(heartbeat peer.Heartbeat) peer.HeartbeatReply {
	now := c.host.Timer.Now()
	c.mu.Lock()
	reply := c.node.HandleRequest(now, heartbeat.Request)
	m := c.member(heartbeat.Info.Host)
	if heartbeat.Info.Incarnation >= m.info.Incarnation {
		m.info = heartbeat.Info
	}
	c.mu.Unlock()
	c.checkSeat()
	return peer.HeartbeatReply{Info: c.ownInfo(), Reply: reply}
}

func (c *control) member(host magnoliashore.HostID) *member {
	m, ok := c.members[host]
	if !ok {
		m = &member{}
		c.members[host] = m
	}
	return m
}

// checkSeat emits an event when the lease node starts to grant leases. It makes
// the host shut down when another process holds its seat.
func (c *control) checkSeat() {
	c.mu.Lock()
	superseded := c.node.Superseded()
	newlySuperseded := superseded && !c.supersededReported
	c.supersededReported = c.supersededReported || superseded
	newlyAccepted := !c.seatAccepted && c.node.Ready(c.host.Timer.Now())
	c.seatAccepted = c.seatAccepted || newlyAccepted
	c.mu.Unlock()
	if newlyAccepted {
		c.host.emit(magnoliashore.EventSpec{Code: event.SeatAccepted})
	}
	if newlySuperseded {
		c.host.emit(magnoliashore.EventSpec{Code: event.Superseded})
		close(c.superseded)
	}
}

// seatRank returns the position of a host among the seats. For a host without a
// seat it returns a number above all positions.
func (c *control) seatRank(host magnoliashore.HostID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.roster, host); i >= 0 {
		return i
	}
	return len(c.roster) + 1
}

func (c *control) ownInfo() peer.Info {
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

// sendHeartbeats sends one heartbeat to every link.
func (c *control) sendHeartbeats() {
	info := c.ownInfo()
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeat := peer.Heartbeat{Info: info, Request: c.node.NewRequest(c.host.Timer.Now())}
	for _, l := range c.links {
		l.link.Send(heartbeat)
	}
}

// releaseAll releases every lease with a last heartbeat, and waits for the lease
// margin.
func (c *control) releaseAll() {
	c.mu.Lock()
	keys := make([]lease.Key, 0, len(c.owned))
	for id := range c.owned {
		keys = append(keys, lease.KeyOf(id))
	}
	c.node.Release(c.host.Timer.Now(), keys)
	c.owned = make(map[magnoliashore.TargetID]bool)
	c.mu.Unlock()
	c.sendHeartbeats()
	pause := c.host.Timer.After(c.host.Settings.Lease.Margin)
	defer pause.Stop()
	<-pause.C
}

// link returns the link to a host, and false if it is not connected.
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
