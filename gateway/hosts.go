package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

// lostHostPeriod is how long a host that is gone still counts among those that
// share a limit: it may only be out of reach.
const lostHostPeriod = 15 * time.Second

const (
	// assumedHosts is how many hosts a newcomer takes to share limits with it
	// until it knows them. After a restart of all, each would else use what is
	// meant for all.
	assumedHosts = 50
	// discoveryQuietPeriod is how long no further host has to be found until the members
	// are taken to be known: two rounds of the membership.
	discoveryQuietPeriod = time.Second
	// maxDiscoveryTime is how long after its start a host assumes others at all.
	maxDiscoveryTime = 3 * time.Second
)

// hosts keeps the links to the other hosts.
type hosts struct {
	self  membership.Member
	timer *timer.Service
	log   log.Interface

	mu          sync.Mutex
	members     []membership.Member
	links       map[string]*relay.Link
	lastSeen    map[string]time.Time // when a member was last known to run
	lastChanged time.Time            // when the members last changed
	started     time.Time            // when this host started
	lastJoined  time.Time            // when a further member was last found
}

var _ Hosts = (*hosts)(nil)

// update takes the members that run, this host first.
func (h *hosts) update(members []membership.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	if h.started.IsZero() {
		h.started = now
	}
	if len(members) > len(h.members) {
		h.lastJoined = now
	}
	for _, m := range slices.Concat(h.members, members) {
		h.lastSeen[m.Peer()] = now
	}
	h.members, h.lastChanged = members, now
	linked := linkPeers(members, h.self.Peer())
	for peer := range linked {
		if h.links[peer] == nil {
			h.links[peer] = &relay.Link{Peer: peer, Timer: h.timer, Log: h.log}
			h.links[peer].Connect()
		}
	}
	for peer, link := range h.links {
		runs := slices.ContainsFunc(members, func(m membership.Member) bool { return m.Peer() == peer })
		if !runs {
			link.Close()
			delete(h.links, peer)
		}
	}
}

// linkPeers returns the hosts that a host keeps links to: some of each zone,
// other ones for each host.
func linkPeers(members []membership.Member, self string) map[string]bool {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(xxhash.Sum64String(self+a.Peer()), xxhash.Sum64String(self+b.Peer()))
	})
	zones := make(map[magnoliashore.ZoneName]int)
	linked := make(map[string]bool)
	for _, m := range ranked {
		if m.Peer() != self && zones[m.Zone()] < linksPerZone {
			zones[m.Zone()]++
			linked[m.Peer()] = true
		}
	}
	return linked
}

// Helpers returns the hosts that take batches, by zone, in random order with
// the stronger ones more often in front.
func (h *hosts) Helpers() map[magnoliashore.ZoneName][]scatter.Helper {
	h.mu.Lock()
	defer h.mu.Unlock()
	helpers := make(map[magnoliashore.ZoneName][]scatter.Helper)
	keys := make(map[string]float64)
	for _, m := range h.members {
		if !h.takesBatches(m) {
			continue
		}
		keys[m.Peer()] = rand.ExpFloat64() / cores(m)
		helpers[m.Zone()] = append(helpers[m.Zone()], scatter.Helper{Peer: m.Peer(), Capacity: shardCapacity(m)})
	}
	for _, list := range helpers {
		slices.SortFunc(list, func(a, b scatter.Helper) int { return cmp.Compare(keys[a.Peer], keys[b.Peer]) })
	}
	return helpers
}

// Link returns the link to a host.
func (h *hosts) Link(peer string) (*relay.Link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	link, ok := h.links[peer]
	return link, ok
}

// Capacity returns how many shards this host can ask without falling behind.
func (h *hosts) Capacity() int { return shardCapacity(h.self) }

const (
	defaultCores  = 1.0 // of a host that does not state its processor time
	shardsPerCore = 100 // that one query may ask: a sub-request costs about 0.1 ms, and 10 ms do not delay the answer
	linksPerZone  = 8   // hosts of a zone that this one sends batches to; keeps connections bounded as the fleet grows
)

func cores(m membership.Member) float64 {
	if m.Cores() <= 0 {
		return defaultCores
	}
	return m.Cores()
}

func shardCapacity(m membership.Member) int { return max(1, int(shardsPerCore*cores(m))) }

// takesBatches reports whether a member takes batches. The caller holds mu.
func (h *hosts) takesBatches(m membership.Member) bool {
	link := h.links[m.Peer()]
	if link == nil || m.State() != membership.Alive {
		return false
	}
	if !link.Connected() {
		link.Connect()
		return false
	}
	return true
}

// Rank returns the rank of this host for a target.
func (h *hosts) Rank(id magnoliashore.TargetID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := xxhash.Sum64String(string(id) + h.self.Peer())
	rank := 0
	for _, m := range h.members {
		if xxhash.Sum64String(string(id)+m.Peer()) < own {
			rank++
		}
	}
	return rank
}

// HostCount returns how many hosts share the limits, this one included: those
// that run, and those that ran a short time ago. A newcomer assumes that there
// are more than it knows.
func (h *hosts) HostCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	if h.discovering(now) {
		return max(assumedHosts, len(h.members))
	}
	if now.Sub(h.lastChanged) > lostHostPeriod {
		return len(h.members) // asked for each send: the usual case takes no search
	}
	for peer, at := range h.lastSeen {
		if now.Sub(at) > lostHostPeriod {
			delete(h.lastSeen, peer)
		}
	}
	return max(len(h.members), len(h.lastSeen))
}

// discovering reports whether this host has just started and does not know all
// members yet. The caller holds mu.
func (h *hosts) discovering(now time.Time) bool {
	if now.Sub(h.started) >= maxDiscoveryTime {
		return false
	}
	return len(h.members) < 2 || now.Sub(h.lastJoined) < discoveryQuietPeriod
}

// callerAddresses returns the addresses to send callers of a zone to: those in
// the zone if there are several hosts, else all.
func callerAddresses(members []membership.Member, zone magnoliashore.ZoneName) []string {
	var near, all []string
	for _, m := range members {
		if !m.Serves() {
			continue
		}
		all = append(all, m.Caller())
		if m.Zone() == zone {
			near = append(near, m.Caller())
		}
	}
	if len(near) >= minZoneHosts {
		return near
	}
	return all
}

// minZoneHosts is how many hosts of a zone bear the loss of one.
const minZoneHosts = 2
