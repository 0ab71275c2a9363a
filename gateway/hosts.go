package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/timer"
)

// remember is how long a host that is gone still counts among those that
// share a limit: it may only be out of reach.
const remember = 15 * time.Second

// hosts keeps the links to the other hosts.
type hosts struct {
	self  membership.Member
	timer *timer.Service
	log   log.Interface

	mu      sync.Mutex
	members []membership.Member
	links   map[string]*relay.Link
	seen    map[string]time.Time // when a member was last known to run
	turn    int
}

var _ Hosts = (*hosts)(nil)

// update takes the members that run, this host first.
func (h *hosts) update(members []membership.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	for _, m := range h.members {
		h.seen[m.Peer()] = now
	}
	h.members = members
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Peer()] = true
		h.seen[m.Peer()] = now
		if m.Peer() == h.self.Peer() || m.Zone() == h.self.Zone() || h.links[m.Peer()] != nil {
			continue
		}
		h.links[m.Peer()] = &relay.Link{Peer: m.Peer(), Timer: h.timer, Log: h.log}
		h.links[m.Peer()].Connect()
	}
	for peer, link := range h.links {
		if !known[peer] {
			link.Close()
			delete(h.links, peer)
		}
	}
}

// Pick returns the link to a host in a zone.
func (h *hosts) Pick(zone magnoliashore.ZoneName) (*relay.Link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn++
	for i := range h.members {
		m := h.members[(h.turn+i)%len(h.members)]
		if m.Zone() == zone && h.ready(m) {
			return h.links[m.Peer()], true
		}
	}
	return nil, false
}

// Zones returns the zones with a host that takes batches.
func (h *hosts) Zones() map[magnoliashore.ZoneName]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	zones := make(map[magnoliashore.ZoneName]bool)
	for _, m := range h.members {
		if !zones[m.Zone()] && h.ready(m) {
			zones[m.Zone()] = true
		}
	}
	return zones
}

// ready reports whether a member takes batches. The caller holds mu.
func (h *hosts) ready(m membership.Member) bool {
	link := h.links[m.Peer()]
	if link == nil || m.State() != membership.Alive {
		return false
	}
	if !link.Up() {
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

// Count returns how many hosts share the limits, this one included: those
// that run, and those that ran a short time ago.
func (h *hosts) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	count := len(h.members)
	for peer, at := range h.seen {
		if now.Sub(at) > remember {
			delete(h.seen, peer)
		}
	}
	return max(count, len(h.seen), 1)
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
	if len(near) >= nearEnough {
		return near
	}
	return all
}

// nearEnough is how many hosts of a zone bear the loss of one.
const nearEnough = 2

// readers is how many hosts read the store themselves; they lie in different
// availability zones, so that the loss of one leaves another.
const readers = 2

// readOrder returns the hosts to read entries from, the best first, and
// whether this host reads the store itself.
func readOrder(members []membership.Member, self string) (order []string, reads bool) {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Peer()), xxhash.Sum64String(b.Peer()))
	})
	var chosen []membership.Member
	for _, m := range ranked {
		taken := slices.ContainsFunc(chosen, func(c membership.Member) bool { return c.Zone() == m.Zone() })
		if m.State() == membership.Alive && !taken && len(chosen) < readers {
			chosen = append(chosen, m)
		}
	}
	for _, m := range chosen {
		if m.Peer() == self {
			reads = true
			continue
		}
		order = append(order, m.Peer())
	}
	// Half of the hosts prefer the second reader.
	if !reads && len(order) == readers && xxhash.Sum64String(self)%readers == 1 {
		slices.Reverse(order)
	}
	return order, reads
}
