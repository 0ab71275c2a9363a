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

// Timeouts and delays for reading the configuration.
const (
	bootstrapTimeout = 1500 * time.Millisecond // longest wait for peers before a starting host uses the platform's values
	readTimeout      = time.Second             // timeout for reading all keys and the host list
	watchRetryDelay  = 200 * time.Millisecond  // the mean delay after a failed watch is maxBackoffFactor times this
	maxBackoffFactor = 8                       // largest multiple of the poll period between reads while the platform fails
)

// config reads the configuration from the platform and from peers, and holds
// the view in force.
type config struct {
	host         *Host
	keys         []string
	current      atomic.Pointer[magnoliashore.View]
	changed      chan struct{} // holds one element after a change
	started      time.Time
	bootstrapped atomic.Bool // peers were consulted, so a view may be put in force

	mu          sync.Mutex
	store       *configservice.Store
	reader      *configservice.Reader
	decoded     magnoliashore.Layout // newest valid layout, in force or not
	hosts       magnoliashore.HostList
	hostsReadAt time.Time
	readAt      time.Time
	confirmed   map[magnoliashore.HostID]bool // peers that reported no newer value than this host's
	rank        int                           // position among the readers of the cell
	failures    int                           // consecutive failed reads
}

func newConfig(h *Host) *config {
	c := &config{
		host:      h,
		keys:      []string{configservice.TableKey(h.Settings.Cell), configservice.LayoutKey(h.Settings.Cell)},
		changed:   make(chan struct{}, 1),
		started:   h.Timer.Now(),
		confirmed: make(map[magnoliashore.HostID]bool),
	}
	c.store = configservice.NewStore(c.validate)
	c.reader = c.newReader()
	return c
}

func (c *config) newReader() *configservice.Reader {
	return configservice.NewReader(configservice.ReaderConfig{
		Rank: c.rank, Poll: c.host.Settings.Config.Poll, Quiet: c.host.Settings.Config.Quiet,
	})
}

// validate returns an error if a value is invalid. The result depends only on
// the value, so that all hosts agree.
func (c *config) validate(v magnoliashore.Value) error {
	if v.Key() == c.keys[0] {
		_, err := operator.DecodeTable(v.Version(), v.Data())
		return err
	}
	_, err := configservice.DecodeLayout(v.Version(), v.Data())
	return err
}

// view returns the configuration in force, or the zero View if there is none
// yet.
func (c *config) view() magnoliashore.View {
	if v := c.current.Load(); v != nil {
		return *v
	}
	return magnoliashore.View{}
}

// ready reports whether a configuration is in force.
func (c *config) ready() bool { return c.current.Load() != nil }

// finishBootstrap puts the configuration in force once enough peers have
// reported no newer one, or after bootstrapTimeout. Until then the platform's
// values are not used, because they may be stale.
func (c *config) finishBootstrap() {
	if c.bootstrapped.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.host.Timer.Now().Sub(c.started) < bootstrapTimeout && !c.enoughConfirmed() {
		return
	}
	c.bootstrapped.Store(true)
	c.rebuild()
	c.notifyChange()
}

// enoughConfirmed reports whether at least half of the other seats have no
// newer values than this host.
func (c *config) enoughConfirmed() bool {
	layout, ok := c.layout()
	if !ok {
		return false
	}
	return 2*len(c.confirmed) >= len(layout.Seats())-1
}

// seats returns the seats to connect to: those of the newest valid layout, in
// force or not.
func (c *config) seats() []magnoliashore.Seat {
	c.mu.Lock()
	defer c.mu.Unlock()
	layout, _ := c.layout()
	return layout.Seats()
}

// layout returns the newest valid layout, which it decodes once. The caller
// holds c.mu.
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

// offer stores a value from the platform or a peer if it is valid and newer.
func (c *config) offer(v magnoliashore.Value, from string) {
	c.mu.Lock()
	result, err := c.store.Offer(v)
	if result == configservice.Applied {
		c.rebuild()
	}
	c.mu.Unlock()
	c.reportOffer(v, result, err, from)
}

// reportOffer emits an event for an offered value, and signals a change of the
// configuration.
func (c *config) reportOffer(v magnoliashore.Value, result configservice.OfferResult, err error, from string) {
	spec := magnoliashore.EventSpec{Peer: from, Detail: fmt.Sprintf("%s version %d", v.Key(), v.Version())}
	switch {
	case result == configservice.Applied:
		spec.Code = event.ConfigApplied
		c.notifyChange()
	case err != nil:
		spec.Code = event.ConfigInvalid
		spec.Detail += ": " + err.Error()
	case result == configservice.Old:
		spec.Code = event.ConfigStale
	default:
		return
	}
	c.host.emit(spec)
}

// rebuild derives the view from the stored values. The caller holds c.mu.
func (c *config) rebuild() {
	if !c.bootstrapped.Load() {
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

func (c *config) notifyChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// offerHosts stores a host list that was read age ago, if it is newer than the
// stored one.
func (c *config) offerHosts(hosts magnoliashore.HostList, age time.Duration) {
	now := c.host.Timer.Now()
	readAt := now.Add(-age)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !readAt.After(c.hostsReadAt) {
		return
	}
	c.hostsReadAt = readAt
	if hashHosts(hosts) == hashHosts(c.hosts) {
		return
	}
	c.hosts = hosts
	if view := c.current.Load(); view != nil {
		next := magnoliashore.NewView(view.Table(), view.Layout(), hosts)
		c.current.Store(&next)
	}
	c.notifyChange()
}

func hashHosts(hosts magnoliashore.HostList) uint64 {
	digest := xxhash.New()
	for _, name := range hosts.LeavingNames() {
		_, _ = digest.WriteString(name)
		_, _ = digest.WriteString("\n")
	}
	return digest.Sum64()
}

// fill sets the configuration fields of info, which is sent to peers.
func (c *config) fill(info *peer.Info) {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range c.keys {
		info.Versions = append(info.Versions, peer.KeyVersion{Key: key, Version: c.store.Version(key)})
	}
	info.ReadAge = ageOf(now, c.readAt)
	info.HostsAge = ageOf(now, c.hostsReadAt)
	info.HostsHash = hashHosts(c.hosts)
}

// ageOf returns the time since a read, or a negative value if there was none.
func ageOf(now, since time.Time) time.Duration {
	if since.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(since)
}

// handleInfo processes the state of a peer's configuration. It returns the
// request for what the peer has and this host lacks, and false if there is
// nothing to fetch. rank and ownRank are the positions of the two hosts among
// the readers.
func (c *config) handleInfo(info peer.Info, rank, ownRank int) (peer.Fetch, bool) {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank < ownRank && info.ReadAge >= 0 && info.ReadAge < c.host.Settings.Config.Quiet {
		c.reader.RecordRead(now)
	}
	var fetch peer.Fetch
	wanted := false
	for _, kv := range info.Versions {
		fetch.Versions = append(fetch.Versions, peer.KeyVersion{Key: kv.Key, Version: c.store.HighestOffered(kv.Key)})
		wanted = wanted || kv.Version > c.store.HighestOffered(kv.Key)
	}
	ownAge := ageOf(now, c.hostsReadAt)
	hostsNewer := info.HostsAge >= 0 && (ownAge < 0 || info.HostsAge+c.host.Settings.Lease.Heartbeat/2 < ownAge)
	if hostsNewer && info.HostsHash == hashHosts(c.hosts) {
		c.hostsReadAt = now.Add(-info.HostsAge)
		hostsNewer = false
	}
	fetch.Hosts = hostsNewer
	if !wanted && info.Ready {
		c.confirmed[info.Host] = true
	}
	return fetch, wanted || hostsNewer
}

// fetch returns the requested values that are newer than the peer's.
func (c *config) fetch(request peer.Fetch) peer.Values {
	now := c.host.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var values peer.Values
	for _, kv := range request.Versions {
		if v, ok := c.store.Get(kv.Key); ok && v.Version() > kv.Version {
			values.List = append(values.List, v)
		}
	}
	if request.Hosts && !c.hostsReadAt.IsZero() {
		hosts := c.hosts
		values.Hosts = &hosts
		values.HostsAge = now.Sub(c.hostsReadAt)
	}
	return values
}

// setRank sets this host's position among the readers of its cell. A change
// restarts the reader.
func (c *config) setRank(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank == c.rank {
		return
	}
	c.rank = rank
	c.reader = c.newReader()
}
