// Package entry provides one entry host: it wires the decisions to callers,
// peers, targets and the platform, each served by a duty of its own.
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

// Times and sizes that no setting changes.
const (
	eventLogSize    = 8192 // events kept for the time line
	dialTimeout     = time.Second
	targetTimeout   = 80 * time.Millisecond // TCP_USER_TIMEOUT towards targets, below the lease margin
	clockSkew       = 20 * time.Millisecond // taken off the absolute deadline that targets see
	budgetBurst     = 100                   // extra sub-requests that may be saved up
	hedgeLeast      = 20                    // samples before a delay is learnt
	hedgeFloor      = time.Millisecond      // lowest hedging delay
	answerTotal     = 64 << 20              // bytes of final answers that the ledger keeps
	incarnationUnit = time.Millisecond
)

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	Settings settings.Settings
	Platform magnoliashore.Platform
	Timer    *timer.Service
	Log      log.Interface
	// Sender, if set, runs every sub-request in place of the host's own
	// connections. Every target then counts as connected, with as many
	// connections as its row allows.
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

	traffic  peer.Traffic
	subs     atomic.Uint64
	names    atomic.Uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	lastKeep atomic.Int64 // when the last address answer was given, microseconds since 1970
	setup    sync.Once
	failed   error
}

var _ magnoliashore.Engine = (*Host)(nil)

// Prepare builds the parts and binds the addresses, so that CallerAddr and
// PeerAddr are known before Run. Run calls it if it was not called.
func (h *Host) Prepare(ctx context.Context) error {
	h.setup.Do(func() { h.failed = h.prepare(ctx) })
	return h.failed
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
		Clock:       h.Timer,
		UserTimeout: targetTimeout,
		DialTimeout: dialTimeout,
		Skew:        clockSkew,
	}
	h.workers = newWorkers(h)
	h.pool.OnState = h.workers.state
	h.config = newConfig(h)
	h.control = newControl(h, now)
	h.tickets = newTickets(h, ticket.New(ticket.Config{
		Host: h.Settings.Host, Incarnation: h.incarnation, EpochLength: h.Settings.Limits.Epoch,
		MaxTickets: h.Settings.Limits.Ledger, MaxAnswerBytes: answerTotal,
	}, now))
	h.callers = &caller.Server{
		Address: h.Settings.Caller, Engine: h, Clock: h.Timer, Limit: h.Settings.Limits.Body, Log: h.Log,
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
	h.chooser = choose.NewLeast(seed)
	if policy.Choose == settings.ChooseRandom {
		h.chooser = choose.NewRandom(seed)
	}
	h.hedger = hedge.New(hedge.Config{
		Quantile: policy.Quantile, Share: policy.Extra, Burst: budgetBurst,
		Least: hedgeLeast, Floor: hedgeFloor, Budget: h.budget,
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

// Run serves until ctx ends, then leaves gracefully: it withdraws its
// addresses, finishes what it has, releases its leases and returns.
func (h *Host) Run(ctx context.Context) error {
	if err := h.Prepare(ctx); err != nil {
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	serving, stopServing := context.WithCancel(life)
	defer stopServing()
	h.emit(magnoliashore.EventSpec{Code: event.Started, Detail: fmt.Sprintf("incarnation %d", h.incarnation)})

	group, life := errgroup.WithContext(life)
	h.workers.start(life)
	for _, d := range h.duties() {
		group.Go(func() error { return h.guard(life, d) })
	}
	group.Go(func() error { return h.callers.Run(serving) })
	group.Go(func() error {
		defer end()
		h.leaveAfter(ctx, life, stopServing)
		return nil
	})
	err := group.Wait()
	h.workers.wait()
	h.emit(magnoliashore.EventSpec{Code: event.Stopped})
	return err
}

// Listening is closed once the host accepts callers.
func (h *Host) Listening() <-chan struct{} { return h.callers.Listening() }

// CallerAddr returns the address towards callers once the host listens.
func (h *Host) CallerAddr() string { return h.callers.Addr() }

// PeerAddr returns the address towards other entry hosts, after Prepare.
func (h *Host) PeerAddr() string { return h.peers.Addr() }

// Incarnation returns the incarnation of this process, after Prepare.
func (h *Host) Incarnation() magnoliashore.Incarnation { return h.incarnation }

// Traffic returns the counters of control traffic with other entry hosts.
func (h *Host) Traffic() *peer.Traffic { return &h.traffic }

// Events returns the event log, after Prepare.
func (h *Host) Events() *event.Log { return h.events }

// Ready reports whether the host can answer queries.
func (h *Host) Ready() bool { return h.config.ready() }

// HoldsAllLeases reports whether the host holds a lease on every target it
// owns, and so may send to cold targets.
func (h *Host) HoldsAllLeases() bool { return h.control.holdsAll() }

// Leaving reports whether the host is shutting down or was superseded.
func (h *Host) Leaving() bool { return h.leaving.Load() }

func (h *Host) emit(spec magnoliashore.EventSpec) {
	spec.Host = h.Settings.Host
	h.events.Emit(magnoliashore.NewEvent(spec))
}

func (h *Host) view() magnoliashore.View { return h.config.view() }
