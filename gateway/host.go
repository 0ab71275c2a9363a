// Package gateway assembles a host. It serves callers in front of targets, both
// requests to one service and scatter-gather queries over many shards.
package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/httpd"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/notice"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/registry"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/ring"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	// Largest answer of a target that must be buffered whole: a partial result or a
	// failure. Queries over many shards hold one of each shard.
	maxAnswerBytes = 1 << 20
	// Part of an answer that is buffered before it is passed on. If the target
	// fails within it, another target can be tried.
	maxBufferedBytes = 1 << 20
	// Bytes of all long answers that are buffered at once, an eighth of the memory of a
	// small host.
	maxHeldBytes = 32 << 20
	// How long callers may cache host addresses.
	directoryMaxAge = 2 * time.Second
	// How long a target whose entry is missing is kept, as a share of the drain
	// time.
	gracePeriodShare = 0.7
	// Upper limit of that time. It is long enough for entries to reappear after
	// an outage of the store.
	maxGracePeriod = 2200 * time.Millisecond
	// Heartbeats after which the store has surely removed the entry of a silent
	// target: it does so after three.
	silentHeartbeats = 4
	// Heartbeats that an outage of the store lasts at least if the entry of a running
	// target is removed: three without the one that may have come just before it.
	lapseHeartbeats = 2
)

// Host runs all components of one host. Set the exported fields before Run.
type Host struct {
	Settings Settings
	Dialect  magnoliashore.Dialect
	Source   registry.Source // reads entries from the store
	Decoder  registry.Decoder
	Timer    *timer.Service
	Log      log.Interface
	Metrics  *Metrics
	// Each value from Signals makes the host reload its settings with Load.
	Signals <-chan os.Signal
	Load    func() (Settings, error)
	// Directory and Ready return the handlers that callers and the platform
	// use to find this host.
	Directory func(addresses func(zone magnoliashore.ZoneName) ([]string, time.Duration)) http.Handler
	Ready     func(ready func() bool) http.Handler

	// PeerListen is the ip:port at which this host listens for other hosts if
	// they reach it through a forwarder at Settings.Peer. If it is empty, the
	// host listens at Settings.Peer.
	PeerListen string
	// DialTarget opens connections to targets; nil for TCP.
	DialTarget origin.DialFunc

	settings atomic.Pointer[Settings] // current settings

	sourceOrder atomic.Pointer[[]registry.Candidate] // sources of entries, in order of preference

	joined   chan struct{} // closed when another host is found
	joinOnce sync.Once

	reader  *registry.Reader
	members *membership.Node
	hosts   *hosts
	engine  *Engine
	notices *notices
	reach   *reachability
	handler *Handler
	callers *callerServer
	stop    *stop
	started time.Time
}

// Run serves until ctx ends, then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	h.build()
	listeners, err := h.listen(ctx)
	if err != nil {
		return err
	}
	h.Log.WithFields(log.Fields{
		"zone": string(h.Settings.Zone), "caller": h.Settings.Caller, "peer": h.Settings.Peer, "store": h.Settings.Store,
	}).Info("started")
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { h.watchSettings(work); return nil })
	group.Go(func() error { return h.reader.Run(work) })
	group.Go(func() error { return h.members.Run(work) })
	group.Go(func() error { h.notices.run(work); return nil })
	group.Go(func() error { h.reach.run(work); return nil })
	group.Go(func() error { h.boundCallers(work); return nil })
	group.Go(func() error { return h.callers.run(listeners[0]) })
	for i, handler := range h.handlers() {
		group.Go(func() error { return serve(work, listeners[i+1], handler) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
			_ = listeners[0].Close()
			return nil
		}
		h.shutDown()
		_ = listeners[0].Close()
		stopWork()
		return nil
	})
	err = group.Wait()
	h.Log.Info("stopped")
	return err
}

// build creates the components.
func (h *Host) build() {
	s := h.Settings
	h.settings.Store(&s)
	h.started = h.Timer.Now()
	h.stop = newStop()
	self := membership.MemberSpec{
		Host: s.Host, Zone: s.Zone, Peer: s.Peer, Caller: s.Caller, Cores: s.Cores,
		Incarnation: magnoliashore.Incarnation(h.started.UnixMilli()),
	}
	h.hosts = &hosts{
		self: membership.NewMember(self), timer: h.Timer, log: h.Log,
		links: make(map[string]*relay.Link), lastSeen: make(map[string]time.Time),
		help: make(map[string]*helpRecord), confirmed: make(map[string]time.Time),
	}
	h.hosts.update([]membership.Member{membership.NewMember(self)})
	h.members = &membership.Node{
		Protocol: &membership.Protocol{
			Self: self, Seeds: s.Seeds, Config: membership.DefaultConfig(),
			Random: newRandom(),
		},
		Address: h.PeerListen, Timer: h.Timer, Log: h.Log, OnChange: h.membersChanged,
		OnNotice: func(data []byte) { h.notices.receive(data) },
	}
	h.joined = make(chan struct{})
	gracePeriod := min(time.Duration(gracePeriodShare*float64(s.Drain)), maxGracePeriod)
	selector := h.newSelector()
	h.reader = &registry.Reader{
		Table: &registry.Table{
			Decoder: h.Decoder, GracePeriod: gracePeriod,
			SilencePeriod: valueOr(silentHeartbeats*s.Heartbeat, s.Drain),
			OutagePeriod:  valueOr(lapseHeartbeats*s.Heartbeat, s.Drain),
		},
		Source: selector, Bootstrap: selector.ListFellow,
		Timer: h.Timer, Log: h.Log, Joined: h.joined, OnChange: h.viewChanged,
	}
	h.Metrics.observeEntries(h.reader)
	h.engine = &Engine{
		Zone: s.Zone, View: h.reader.View, Hosts: h.hosts, Timer: h.Timer, Log: h.Log, Metrics: h.Metrics,
		Pool:        &origin.Pool{Dialect: h.Dialect, Timer: h.Timer, MaxBody: maxAnswerBytes, MaxBuffered: maxBufferedBytes, MaxHeld: maxHeldBytes, Dial: h.DialTarget, Lookup: h.lookup, OnLeaving: h.reader.Depart},
		Balancer:    &balance.Balancer{Zone: s.Zone, Random: newRandom()},
		Budget:      &retry.Budget{Limit: s.Retries, Started: h.started},
		ColdLimiter: &admit.ColdLimiter{Limit: s.Cold},
		reportDue:   make(chan struct{}, 1),
		stop:        h.stop,
	}
	h.notices = &notices{
		self: s.Peer, engine: h.engine, issuer: h.hosts.Issuer, notify: h.members.Notify, timer: h.Timer, log: h.Log,
		bytes: admit.NewBucket(h.Timer.Now(), maxRecordBurst),
		peers: h.hosts.Peers, joined: h.joined, inbox: ring.New[notice.Message](noticeInboxSize),
	}
	h.reach = &reachability{
		engine: h.engine, zone: s.Zone, peers: h.hosts.Fellows, setCut: h.members.SetCut, timer: h.Timer, log: h.Log,
		send:  func(peer string, m notice.Message) { h.notices.send(peer, m) },
		inbox: ring.New[testEvent](reachInboxSize), served: admit.NewBucket(h.Timer.Now(), maxTestBurst),
	}
	h.notices.reach = h.reach
	h.engine.suspects.due = make(chan struct{}, 1)
	h.handler = &Handler{
		Forwarder: relay.NewForwarder(), forwarded: make(chan struct{}, forwardedRequests(h.hosts.self)),
		gates: &gates{timer: h.Timer}, Engine: h.engine, Dialect: h.Dialect, Splitter: &balance.Splitter{}, Log: h.Log,
		DataAge: h.reader.Age,
		stop:    h.stop,
	}
	h.callers = &callerServer{handler: h.handler, conns: newCallerConns(h.Timer, h.Log, h.Metrics)}
	h.Metrics.observeCallers(h.callers.conns)
}

// lookup returns a target that may get requests, or nil.
func (h *Host) lookup(id magnoliashore.TargetID) *catalog.Target { return h.reader.View().Target(id) }

// membersChanged receives the running members, this host first.
func (h *Host) membersChanged(members []membership.Member) {
	h.hosts.update(members)
	order := readOrder(members, h.Settings.Peer)
	h.sourceOrder.Store(&order)
	if len(members) > 1 {
		h.joinOnce.Do(func() { close(h.joined) })
	}
}

// newSelector returns a source that reads entries from the store or from another
// host.
func (h *Host) newSelector() *registry.Selector {
	client := registry.NewPeerClient()
	return &registry.Selector{
		Store: h.Source, Timer: h.Timer, Log: h.Log,
		Dial: func(host registry.Candidate) registry.Source {
			return &registry.Peer{Address: host.Name, Client: client, MaxHops: host.MaxHops}
		},
		Order: h.sources, OnSilence: h.distrustConnections,
	}
}

// distrustConnections checks or replaces all open connections, since one of them has
// become silent.
func (h *Host) distrustConnections() {
	h.engine.Pool.DistrustKept()
	h.handler.Forwarder.CloseIdle()
	h.hosts.checkLinks()
}

// sources returns the sources of entries, in order of preference.
func (h *Host) sources() []registry.Candidate {
	if order := h.sourceOrder.Load(); order != nil {
		return *order
	}
	return []registry.Candidate{{Name: registry.StoreName}}
}

// viewChanged applies a new view of the configuration and the targets.
func (h *Host) viewChanged(view *catalog.View) {
	if config := view.Config(); config != nil {
		h.callers.setLimits(config.Limits())
	}
	h.engine.Retain(view)
}

// listen opens the listeners for callers, other hosts, readiness checks, the
// directory and metrics, in this order.
func (h *Host) listen(ctx context.Context) ([]net.Listener, error) {
	if err := h.members.Listen(); err != nil {
		return nil, err
	}
	s := h.Settings
	addresses := []string{s.Caller, valueOr(h.PeerListen, s.Peer), s.Ready, s.Directory}
	if s.Metrics != "" {
		addresses = append(addresses, s.Metrics)
	}
	var listeners []net.Listener
	config := tcp.ListenConfig(0)
	for _, address := range addresses {
		l, err := config.Listen(ctx, "tcp4", address)
		if err != nil {
			return nil, magnoliashore.Step(err, "listen", address)
		}
		listeners = append(listeners, &tcp.Acceptor{Listener: l, Timer: h.Timer, Log: h.Log})
	}
	return listeners, nil
}

// handlers returns the handlers of all listeners but the first, in their order.
func (h *Host) handlers() []http.Handler {
	peers := http.NewServeMux()
	peers.Handle(relay.Path, &relay.Server{Handle: h.engine.Batch, Timer: h.Timer, Log: h.Log})
	peers.Handle(relay.ForwardPath, &relay.ForwardServer{Handle: h.handler.ServeForwarded, Log: h.Log})
	peers.Handle(registry.Path, &registry.Server{Reader: h.reader})
	handlers := []http.Handler{peers, h.Ready(h.ready), h.Directory(h.addresses)}
	if h.Settings.Metrics != "" {
		handlers = append(handlers, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { h.Metrics.Write(w) }))
	}
	return handlers
}

// ready reports whether callers may use this host.
func (h *Host) ready() bool { return !started(h.stop.stopping) && h.reader.View().Config() != nil }

// addresses returns the addresses for callers of a zone and how long callers
// may cache them.
func (h *Host) addresses(zone magnoliashore.ZoneName) ([]string, time.Duration) {
	return callerAddresses(h.members.Members(), zone), min(directoryMaxAge, h.settings.Load().Refresh)
}

// serve serves handler until ctx ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: httpd.Answered(handler), ReadHeaderTimeout: defaultHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return magnoliashore.Step(err, "serve", listener.Addr().String())
	case <-ctx.Done():
	}
	err := server.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return magnoliashore.Step(err, "close", listener.Addr().String())
}
