// Package entry implements an entry host. It connects the decision packages with
// callers, peers, targets and the platform. Callers, peers, the platform and each
// target are served by separate goroutines.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/caller"
	"github.com/magnoliashore/magnoliashore/choose"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/hedge"
	"github.com/magnoliashore/magnoliashore/peer"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/target"
	"github.com/magnoliashore/magnoliashore/ticket"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Times and sizes that are not configurable.
const (
	eventLogSize         = 8192 // events kept in the event log
	dialTimeout          = time.Second
	targetUserTimeout    = 80 * time.Millisecond // TCP_USER_TIMEOUT of connections to targets; must be below the lease margin
	clockSkew            = 20 * time.Millisecond // subtracted from the absolute deadline sent to targets
	budgetBurst          = 100                   // most extra sub-requests that the budget can accumulate
	minHedgeSamples      = 20                    // samples needed before a hedging delay is derived
	minHedgeDelay        = time.Millisecond      // shortest hedging delay
	maxLedgerAnswerBytes = 64 << 20              // total size of the final answers in the ledger
	incarnationUnit      = time.Millisecond      // resolution of incarnations
)

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	Settings settings.Settings
	Platform magnoliashore.Platform
	Timer    *timer.Service
	Log      log.Interface
	// Sender, if set, runs every sub-request in place of the host's own
	// connections. Every target then counts as connected, with as many
	// connections as this host may open.
	Sender magnoliashore.Sender

	incarnation magnoliashore.Incarnation
	events      *event.Log
	codec       *peer.Codec
	meters      *meters
	config      *config
	control     *control
	workers     *workers
	tickets     *tickets
	pool        *target.Pool
	hedger      magnoliashore.Hedger
	chooser     magnoliashore.Chooser
	budget      *hedge.Budget
	loads       *loads
	throttles   *throttles
	callers     *caller.Server
	peers       *peer.Server

	traffic         peer.Traffic
	lastSubID       atomic.Uint64
	lastQueryID     atomic.Uint64
	inFlight        atomic.Int64 // queries in flight
	leaving         atomic.Bool
	entriesServedAt atomic.Int64 // when Entries last returned addresses, in microseconds since 1970
	prepareOnce     sync.Once
	prepareErr      error
}

var _ magnoliashore.Engine = (*Host)(nil)

// Prepare builds the host and binds its peer address, so that PeerAddr is known
// before Run. Run calls Prepare if it was not called.
func (h *Host) Prepare(ctx context.Context) error {
	h.prepareOnce.Do(func() { h.prepareErr = h.prepare(ctx) })
	return h.prepareErr
}

func (h *Host) prepare(ctx context.Context) error {
	now := h.Timer.Now()
	h.incarnation = magnoliashore.Incarnation(now.UnixNano() / int64(incarnationUnit))
	h.events = &event.Log{Clock: h.Timer, Host: h.Settings.Host, Size: eventLogSize, Logs: h.Log}
	codec, err := peer.NewCodec(h.Timer)
	if err != nil {
		return magnoliashore.Step(err, "building the peer codec", "")
	}
	h.codec = codec
	h.meters = newMeters(h)
	h.buildPolicies()
	h.pool = &target.Pool{
		Clock:        h.Timer,
		UserTimeout:  targetUserTimeout,
		DialTimeout:  dialTimeout,
		MaxClockSkew: clockSkew,
	}
	h.workers = newWorkers(h)
	h.pool.OnState = h.workers.connectionChanged
	h.config = newConfig(h)
	h.control = newControl(h, now)
	h.tickets = newTickets(h, ticket.New(ticket.Config{
		Host: h.Settings.Host, Incarnation: h.incarnation, EpochLength: h.Settings.Limits.Epoch,
		MaxTickets: h.Settings.Limits.Ledger, MaxAnswerBytes: maxLedgerAnswerBytes,
	}, now))
	h.callers = &caller.Server{
		Address: h.Settings.Caller, Engine: h, Clock: h.Timer, MaxBodyBytes: h.Settings.Limits.Body, Log: h.Log,
	}
	h.peers = &peer.Server{Address: h.Settings.Peer, Codec: h.codec, Handler: h.handler(), Traffic: &h.traffic}
	return h.peers.Listen(ctx)
}

func (h *Host) buildPolicies() {
	policy := h.Settings.Policy
	seed := rand.New(rand.NewPCG(uint64(h.incarnation), rand.Uint64()))
	h.budget = hedge.NewBudget(policy.Extra, budgetBurst)
	h.loads = newLoads(h.Timer)
	h.throttles = newThrottles(h)
	h.chooser = choose.NewLeastLoaded(seed)
	if policy.Choose == settings.ChooseRandom {
		h.chooser = choose.NewRandom(seed)
	}
	h.hedger = hedge.New(hedge.Config{
		Quantile: policy.Quantile, Share: policy.Extra, Burst: budgetBurst,
		MinSamples: minHedgeSamples, MinDelay: minHedgeDelay, Budget: h.budget,
	})
	if policy.Hedge == settings.HedgeOff {
		h.hedger = hedge.Off{}
	}
}

func (h *Host) newQueue(size int) magnoliashore.Queue {
	if h.Settings.Policy.Queue == settings.QueueFIFO {
		return admit.NewFIFO(size)
	}
	return admit.NewFair(size)
}

// Run serves until ctx ends, and then shuts down gracefully: it withdraws its
// addresses, finishes the requests in flight and releases its leases.
func (h *Host) Run(ctx context.Context) error {
	if err := h.Prepare(ctx); err != nil {
		return err
	}
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	serving, stopServing := context.WithCancel(lifetime)
	defer stopServing()
	h.emit(magnoliashore.EventSpec{Code: event.Started, Detail: fmt.Sprintf("incarnation %d", h.incarnation)})

	group, lifetime := errgroup.WithContext(lifetime)
	h.workers.start(lifetime)
	for _, d := range h.duties() {
		group.Go(func() error { return h.guard(lifetime, d) })
	}
	group.Go(func() error { return h.callers.Run(serving) })
	group.Go(func() error {
		defer end()
		h.leaveAfter(ctx, lifetime, stopServing)
		return nil
	})
	err := group.Wait()
	h.workers.wait()
	h.emit(magnoliashore.EventSpec{Code: event.Stopped})
	return err
}

// Listening is closed once the host accepts callers.
func (h *Host) Listening() <-chan struct{} { return h.callers.Listening() }

// CallerAddr returns the address for callers, once the host listens.
func (h *Host) CallerAddr() string { return h.callers.Addr() }

// PeerAddr returns the address for other entry hosts, after Prepare.
func (h *Host) PeerAddr() string { return h.peers.Addr() }

// Incarnation returns the incarnation of this process, after Prepare.
func (h *Host) Incarnation() magnoliashore.Incarnation { return h.incarnation }

// Traffic returns the byte counters of control traffic with other entry hosts.
func (h *Host) Traffic() *peer.Traffic { return &h.traffic }

// Events returns the event log, after Prepare.
func (h *Host) Events() *event.Log { return h.events }

// Ready reports whether a configuration is in force, so that the host can answer
// queries.
func (h *Host) Ready() bool { return h.config.ready() }

// HoldsAllLeases reports whether the host holds a lease on every target it
// owns, and so may send to cold targets.
func (h *Host) HoldsAllLeases() bool { return h.control.holdsAllLeases() }

// Leaving reports whether the host is shutting down or was superseded.
func (h *Host) Leaving() bool { return h.leaving.Load() }

func (h *Host) emit(spec magnoliashore.EventSpec) {
	spec.Host = h.Settings.Host
	h.events.Emit(magnoliashore.NewEvent(spec))
}

func (h *Host) view() magnoliashore.View { return h.config.view() }
