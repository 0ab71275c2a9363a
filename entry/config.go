package entry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/peer"
)

// Times of the configuration duty.
const (
	bootstrapWait = 1500 * time.Millisecond // for a peer's word before a starting host trusts the platform alone
	readTimeout   = time.Second             // for one read of the platform
	retryWait     = 200 * time.Millisecond  // after a failed watch
	maxBackoff    = 8                       // polls between two reads while the platform fails
)

// config is the duty that keeps the configuration in force.
type config struct {
	host      *Host
	keys      []string
	current   atomic.Pointer[magnoliashore.View]
	changed   chan struct{} // holds one mark after each change
	started   time.Time
	consulted atomic.Bool // peers were asked for a newer configuration

	mu      sync.Mutex
	store   *configservice.Store
	reader  *configservice.Reader
	decoded magnoliashore.Layout // the newest layout seen
	hosts   magnoliashore.HostList
	hostsAt time.Time
	readAt  time.Time
	heard   map[magnoliashore.HostID]bool // peers that have nothing newer
	rank    int                           // place among the readers of the cell
	failing int
}

func newConfig(h *Host) *config {
	c := &config{
		host:    h,
		keys:    []string{configservice.TableKey(h.Settings.Cell), configservice.LayoutKey(h.Settings.Cell)},
		changed: make(chan struct{}, 1),
		started: h.Timer.Now(),
		heard:   make(map[magnoliashore.HostID]bool),
	}
	c.store = configservice.NewStore(c.check)
	c.reader = c.newReader()
	return c
}

func (c *config) newReader() *configservice.Reader {
	return configservice.NewReader(configservice.ReaderConfig{
		Rank: c.rank, Poll: c.host.Settings.Config.Poll, Quiet: c.host.Settings.Config.Quiet,
	})
}

// check says whether a value is valid. It depends on the bytes alone, so that
// all hosts agree.
func (c *config) check(v magnoliashore.Value) error {
	if v.Key() == c.keys[0] {
		_, err := operator.DecodeTable(v.Version(), v.Data())
		return err
	}
	_, err := configservice.DecodeLayout(v.Version(), v.Data())
	return err
}

// view returns the configuration in force; the zero View before there is one.
func (c *config) view() magnoliashore.View {
	if v := c.current.Load(); v != nil {
		return *v
	}
	return magnoliashore.View{}
}

// ready reports whether a configuration is in force.
func (c *config) ready() bool { return c.current.Load() != nil }

// consult puts the configuration in force once most peers have said that they
// know no newer one, or have had their time to say so. Until then a value of
// the platform is not trusted: it may be stale.
func (c *config) consult() {
	if c.consulted.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host.Timer.Now().Sub(c.started) < bootstrapWait && !c.enoughHeard() {
		return
	}
	c.consulted.Store(true)
	c.rebuild()
	c.mark()
}

// enoughHeard reports whether more than half of the other seats have nothing
// newer than this host.
func (c *config) enoughHeard() bool {
	layout, ok := c.layout()
	if !ok {
		return false
	}
	return 2*len(c.heard) >= len(layout.Seats())-1
}

// seats returns the seats to connect to: those of the newest layout seen, in
// force or not.
func (c *config) seats() []magnoliashore.Seat {
	c.mu.Lock()
	defer c.mu.Unlock()
	layout, _ := c.layout()
	return layout.Seats()
}

// layout returns the newest layout seen; c.mu is held. It is decoded once.
func (c *config) layout() (magnoliashore.Layout, bool) {
	value, ok := c.store.Get(c.keys[1])
	if !ok {
		return magnoliashore.Layout{}, false
	}
	if c.decoded.Version() == value.Version() {
		return c.decoded, true
	}
	layout, err := configservice.DecodeLayout(value.Version(), value.Data())
	if err != nil {
		return magnoliashore.Layout{}, false
	}
	c.decoded = layout
	return layout, true
}

// offer takes in a value from the platform or a peer.
func (c *config) offer(v magnoliashore.Value, from string) {
	c.mu.Lock()
	verdict, err := c.store.Offer(v)
	if verdict == configservice.Applied {
		c.rebuild()
	}
	c.mu.Unlock()
	c.report(v, verdict, err, from)
}

func (c *config) report(v magnoliashore.Value, verdict configservice.OfferResult, err error, from string) {
	spec := magnoliashore.EventSpec{Peer: from, Detail: fmt.Sprintf("%s version %d", v.Key(), v.Version())}
	switch {
	case verdict == configservice.Applied:
		spec.Code = event.ConfigApplied
		c.mark()
	case err != nil:
		spec.Code = event.ConfigInvalid
		spec.Detail += ": " + err.Error()
	case verdict == configservice.Old:
		spec.Code = event.ConfigStale
	default:
		return
	}
	c.host.emit(spec)
}

// rebuild derives the view from the values in force.
func (c *config) rebuild() {
	if !c.consulted.Load() {
		return
	}
	tableValue, okTable := c.store.Get(c.keys[0])
	layout, okLayout := c.layout()
	if !okTable || !okLayout {
		return
	}
	table, err := operator.DecodeTable(tableValue.Version(), tableValue.Data())
	if err != nil {
		return
	}
	view := magnoliashore.NewView(table, layout, c.hosts)
	c.current.Store(&view)
}

func (c *config) mark() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// offerHosts takes in a host list that was read age ago.
func (c *config) offerHosts(hosts magnoliashore.HostList, age time.Duration) {
	now := c.host.Timer.Now()
	at := now.Add(-age)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.After(c.hostsAt) {
		return
	}
	c.hostsAt = at
	if hashHosts(hosts) == hashHosts(c.hosts) {
		return
	}
	c.hosts = hosts
	if view := c.current.Load(); view != nil {
		next := magnoliashore.NewView(view.Table(), view.Layout(), hosts)
		c.current.Store(&next)
	}
	c.mark()
}

func hashHosts(hosts magnoliashore.HostList) uint64 {
	digest := xxhash.New()
	for _, name := range hosts.LeavingNames() {
		_, _ = digest.WriteString(name)
		_, _ = digest.WriteString("\n")
	}
	return digest.Sum64()
}

// fill puts what the configuration duty tells peers into info.
func (c *config) fill(info *peer.Info) {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range c.keys {
		info.Versions = append(info.Versions, peer.KeyVersion{Key: key, Version: c.store.Version(key)})
	}
	info.ReadAge = ageOf(now, c.readAt)
	info.HostsAge = ageOf(now, c.hostsAt)
	info.HostsHash = hashHosts(c.hosts)
}

func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(at)
}

// hear takes in what a peer says of its configuration and returns what to
// fetch from it.
func (c *config) hear(info peer.Info, rank, own int) (peer.Fetch, bool) {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank < own && info.ReadAge >= 0 && info.ReadAge < c.host.Settings.Config.Quiet {
		c.reader.RecordRead(now)
	}
	var fetch peer.Fetch
	wanted := false
	for _, held := range info.Versions {
		fetch.Versions = append(fetch.Versions, peer.KeyVersion{Key: held.Key, Version: c.store.HighestOffered(held.Key)})
		wanted = wanted || held.Version > c.store.HighestOffered(held.Key)
	}
	ours := ageOf(now, c.hostsAt)
	newer := info.HostsAge >= 0 && (ours < 0 || info.HostsAge+c.host.Settings.Lease.Heartbeat/2 < ours)
	if newer && info.HostsHash == hashHosts(c.hosts) {
		c.hostsAt = now.Add(-info.HostsAge)
		newer = false
	}
	fetch.Hosts = newer
	if !wanted && info.Ready {
		c.heard[info.Host] = true
	}
	return fetch, wanted || newer
}

// fetch returns the values that a peer lacks.
func (c *config) fetch(request peer.Fetch) peer.Values {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var values peer.Values
	for _, held := range request.Versions {
		if v, ok := c.store.Get(held.Key); ok && v.Version() > held.Version {
			values.List = append(values.List, v)
		}
	}
	if request.Hosts && !c.hostsAt.IsZero() {
		hosts := c.hosts
		values.Hosts = &hosts
		values.HostsAge = now.Sub(c.hostsAt)
	}
	return values
}

// setRank tells the duty this host's place among the readers of its cell.
func (c *config) setRank(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank == c.rank {
		return
	}
	c.rank = rank
	c.reader = c.newReader()
}
