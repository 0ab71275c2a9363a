package gateway

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/quota"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

// lostHostPeriod is how long a lost host still counts among those that share a
// limit, since it may only be unreachable.
const lostHostPeriod = 15 * time.Second

const (
	// assumedHosts is how many hosts a new host assumes to share limits with
	// until it has discovered them. Otherwise, after a restart of all hosts, each
	// would use the limit meant for all.
	assumedHosts = 50
	// discoveryQuietPeriod is the time without a new member after which discovery
	// is complete: two rounds of the membership protocol.
	discoveryQuietPeriod = time.Second
	// maxDiscoveryTime is the time after the start of a host from which it no
	// longer assumes other hosts.
	maxDiscoveryTime = 3 * time.Second
)

// hosts keeps the running members and the links to some of them.
type hosts struct {
	self  membership.Member
	timer *timer.Service
	log   log.Interface

	mu          sync.Mutex
	members     []membership.Member
	links       map[string]*relay.Link
	lastSeen    map[string]time.Time // by peer address: when a member last ran
	lastChanged time.Time            // when the members last changed
	started     time.Time            // start of this host
	lastJoined  time.Time            // when a member was last added
	help        map[string]*helpRecord
	confirmed   map[string]time.Time // by peer address: when a host was last known to reach targets
}

// helpRecord is how a host has answered the batches and requests of this one.
type helpRecord struct {
	failures     int // in a row
	avoidedUntil time.Time
}

var _ Hosts = (*hosts)(nil)

// update receives the running members, this host first.
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
	runs := func(peer string) bool {
		return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Peer() == peer })
	}
	maps.DeleteFunc(h.help, func(peer string, _ *helpRecord) bool { return !runs(peer) })
	maps.DeleteFunc(h.confirmed, func(peer string, _ time.Time) bool { return !runs(peer) })
	for peer, link := range h.links {
		if !runs(peer) {
			link.Close()
			delete(h.links, peer)
		}
	}
}

// linkPeers returns the hosts that a host keeps links to: a few of each zone,
// chosen by hash so that hosts differ in their choice.
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

// Helpers returns the hosts that accept batches, by zone, in random order
// weighted by their cores.
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

// Capacity returns how many shards of one query this host can query without
// delay.
func (h *hosts) Capacity() int { return shardCapacity(h.self) }

const (
	// Cores of a host that does not state them.
	defaultCores = 1.0
	// Shards of one query that a host queries per core. A sub-request costs about
	// 0.1 ms of CPU time, and 10 ms do not delay the answer.
	shardsPerCore = 100
	// Links to hosts of one zone. The limit bounds the number of connections as
	// the number of hosts grows.
	linksPerZone = 8
)

func cores(m membership.Member) float64 {
	if m.Cores() <= 0 {
		return defaultCores
	}
	return m.Cores()
}

func shardCapacity(m membership.Member) int { return max(1, int(shardsPerCore*cores(m))) }

// takesBatches reports whether a member accepts batches. The caller holds mu.
func (h *hosts) takesBatches(m membership.Member) bool {
	link := h.links[m.Peer()]
	if link == nil || m.State() != membership.Alive || m.Cut() || h.avoided(m.Peer()) {
		return false
	}
	if !link.Connected() {
		link.Connect()
		return false
	}
	return true
}

const (
	// Failures in a row from which a host is avoided, how long it is avoided first,
	// doubled with each further failure, and at most.
	helpFailures = 2
	minHelpPause = 250 * time.Millisecond
	maxHelpPause = 2 * time.Second
	// How long a host that is known to reach targets is preferred for whole requests:
	// until all hosts that do not have said so.
	confirmedPeriod = 2 * time.Second
	// Factor on the chance of hosts of the own zone to get whole requests.
	ownZonePreference = 2
)

// avoided reports whether a host has not answered lately. The caller holds mu.
func (h *hosts) avoided(peer string) bool {
	record, ok := h.help[peer]
	return ok && h.timer.Now().Before(record.avoidedUntil)
}

// RecordHelp records whether a host has answered a batch or a request. A host that
// fails repeatedly is avoided for a time, whatever the reason.
func (h *hosts) RecordHelp(peer string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		delete(h.help, peer)
		return
	}
	record := h.help[peer]
	if record == nil {
		record = &helpRecord{}
		h.help[peer] = record
	}
	record.failures++
	if over := record.failures - helpFailures; over >= 0 {
		pause := min(minHelpPause<<min(over, 10), maxHelpPause)
		record.avoidedUntil = h.timer.Now().Add(pause)
		h.log.WithFields(log.Fields{"peer": peer, "failures": record.failures, "pause": pause.String()}).Info("host does not answer; it gets no work for a time")
	}
}

// checkLinks finds out which links to other hosts have become silent. What hosts have not
// answered over them says nothing about the hosts.
func (h *hosts) checkLinks() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.help)
	for _, link := range h.links {
		go link.Check()
	}
}

// Confirm records that a host reaches targets that this one does not.
func (h *hosts) Confirm(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed[peer] = h.timer.Now()
}

// Fellows returns the hosts that may take whole requests of this one, in random order
// weighted by their cores. Those that were just found to reach targets come first.
func (h *hosts) Fellows() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	keys := make(map[string]float64)
	var fellows []string
	for _, m := range h.sample() {
		if m.Peer() == h.self.Peer() || m.State() != membership.Alive || m.Cut() || h.avoided(m.Peer()) {
			continue
		}
		key := rand.ExpFloat64() / cores(m)
		if m.Zone() == h.self.Zone() {
			key /= ownZonePreference
		}
		if at, ok := h.confirmed[m.Peer()]; !ok || now.Sub(at) > confirmedPeriod {
			key += unconfirmedPenalty
		}
		keys[m.Peer()] = key
		fellows = append(fellows, m.Peer())
	}
	slices.SortFunc(fellows, func(a, b string) int { return cmp.Compare(keys[a], keys[b]) })
	return fellows
}

// sample returns the members, or some at random if there are many. The caller holds mu.
func (h *hosts) sample() []membership.Member {
	if len(h.members) <= maxSampledHosts {
		return h.members
	}
	sampled := make([]membership.Member, 0, maxSampledHosts)
	start := rand.IntN(len(h.members))
	stride := len(h.members) / maxSampledHosts
	for i := range maxSampledHosts {
		sampled = append(sampled, h.members[(start+i*stride)%len(h.members)])
	}
	return sampled
}

// maxSampledHosts bounds the work for a choice among the hosts of a large fleet.
const maxSampledHosts = 64

// unconfirmedPenalty puts hosts behind all that were just found to reach targets.
const unconfirmedPenalty = 1e6

// Rank returns the position of this host in the order of hosts for a target.
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

// HostCount returns how many hosts share the limits, including this one: those
// that run and those that were lost a short time ago. A new host assumes more
// hosts than it has discovered.
func (h *hosts) HostCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	if h.discovering(now) {
		return max(assumedHosts, len(h.members))
	}
	if now.Sub(h.lastChanged) > lostHostPeriod {
		return len(h.members) // fast path: called for each attempt
	}
	for peer, at := range h.lastSeen {
		if now.Sub(at) > lostHostPeriod {
			delete(h.lastSeen, peer)
		}
	}
	return max(len(h.members), len(h.lastSeen))
}

// Sharing describes the hosts that share the rates of targets.
func (h *hosts) Sharing() quota.Sharing {
	count := h.HostCount()
	h.mu.Lock()
	defer h.mu.Unlock()
	return quota.Sharing{Hosts: count, Running: len(h.members), Stable: h.timer.Now().Sub(h.lastChanged)}
}

// Peers returns the peer addresses of the other running hosts.
func (h *hosts) Peers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := make([]string, 0, len(h.members))
	for _, m := range h.members {
		if m.Peer() != h.self.Peer() {
			peers = append(peers, m.Peer())
		}
	}
	return peers
}

// Issuer returns the peer address of the host that leases the rate of a target: the
// first one in the order of hosts for the target that is not leaving.
func (h *hosts) Issuer(id magnoliashore.TargetID) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	issuer, lowest := h.self.Peer(), uint64(math.MaxUint64)
	for _, m := range h.members {
		if position := xxhash.Sum64String(string(id) + m.Peer()); m.Serves() && position < lowest {
			issuer, lowest = m.Peer(), position
		}
	}
	return issuer
}

// discovering reports whether this host has started so recently that members may
// be missing. The caller holds mu.
func (h *hosts) discovering(now time.Time) bool {
	if now.Sub(h.started) >= maxDiscoveryTime {
		return false
	}
	return len(h.members) < 2 || now.Sub(h.lastJoined) < discoveryQuietPeriod
}

// callerAddresses returns the addresses for callers of a zone: those in the zone
// if it has enough hosts, else all. Hosts that are cut off from targets are left out
// while at least half of the hosts are not.
func callerAddresses(members []membership.Member, zone magnoliashore.ZoneName) []string {
	serving, inTouch := 0, 0
	for _, m := range members {
		if m.Serves() {
			serving++
			if !m.Cut() {
				inTouch++
			}
		}
	}
	var near, all []string
	for _, m := range members {
		if !m.Serves() || m.Cut() && 2*inTouch >= serving {
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

// minZoneHosts is the number of hosts at which a zone can lose one.
const minZoneHosts = 2
