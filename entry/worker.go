package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/ring"
	"github.com/magnoliashore/magnoliashore/timer"
	"github.com/magnoliashore/magnoliashore/warm"
)

// Times and sizes of a worker.
const (
	inboxFullRetryAfter = 5 * time.Millisecond  // retry-after when the inbox is full
	expiryInterval      = 4 * time.Millisecond  // interval of checks for expired jobs in the queue
	maxWarmLinger       = 10 * time.Millisecond // longest time that a cancelled request keeps a warm target's slot
	minLeaseLeft        = 5 * time.Millisecond  // least time left on a lease to start cold work
	latencySmoothing    = 8                     // inverse of the smoothing factor of the latency's moving average
	doneCapacity        = 16                    // messages of ended exchanges that are buffered without blocking a goroutine
)

// job is one sub-request that the worker of its target handles.
type job struct {
	sub            magnoliashore.Sub
	reply          func(magnoliashore.SubAnswer)
	id             uint64
	cancel         context.CancelFunc // cancels the running exchange
	withdrawn      bool
	targetDeadline time.Time // deadline sent to the target
	permit         magnoliashore.Permit
	cold           bool // the target counted as cold when the job started
	answer         magnoliashore.SubAnswer
	evidence       magnoliashore.Evidence
}

// Messages to a worker.
type (
	submitted struct{ job *job }
	withdrawn struct{ job *job }
	finished  struct{ job *job }  // its answer and evidence are set
	slotFreed struct{ cold bool } // the slot of a cancelled request is free again
)

// worker is the duty that sends this host's requests to one target. Nothing else
// on this host sends requests to the target. The fields from done on belong to
// the worker's goroutine.
type worker struct {
	host      *Host
	inbox     *ring.Ring[any] // submitted and withdrawn
	closed    chan struct{}   // closed when the target is no longer published
	closeOnce sync.Once
	wake      chan struct{} // holds an element after a change of the view or the connections

	linkMu      sync.Mutex
	linkChanges []bool // connections opened (true) and lost (false), not yet applied

	coldBusy atomic.Int64 // requests in flight that were sent while the target counted as cold

	done           chan any // finished, slotFreed and probeResult
	target         magnoliashore.Target
	service        magnoliashore.Service
	queue          magnoliashore.Queue
	warmth         *warm.Tracker
	jobs           map[uint64]*job
	lastJobID      uint64
	busy           int // slots in use
	latency        time.Duration
	reportedCold   bool      // state in the last event
	unusable       bool      // must get no new work
	maxConns       int       // most connections that this host opens
	reportedBreaks uint64    // number of lost connections that the warmth estimate includes
	lastStart      time.Time // when the last request started
	probing        bool      // a probe is in flight
}

func newWorker(h *Host, t magnoliashore.Target, service magnoliashore.Service) *worker {
	w := &worker{
		host:         h,
		inbox:        ring.New[any](h.Settings.Limits.Ring),
		closed:       make(chan struct{}),
		wake:         make(chan struct{}, 1),
		done:         make(chan any, doneCapacity),
		target:       t,
		service:      service,
		jobs:         make(map[uint64]*job),
		reportedCold: true,
	}
	w.reset()
	w.openConnections()
	return w
}

// hostsPerTarget is how many entry hosts may have connections to one target at the
// same time: its owner and two standbys or former owners.
const hostsPerTarget = 3

// openConnections sets this host's share of the target's connections, and defines
// the target in the pool.
func (w *worker) openConnections() {
	w.maxConns = max(1, w.service.Conns()/hostsPerTarget)
	if w.host.Sender != nil {
		w.connectionChanged(true)
		return
	}
	w.host.pool.Open(w.target, w.maxConns)
}

// openCount returns the number of open connections to the target.
func (w *worker) openCount() int {
	if w.host.Sender != nil {
		return w.maxConns
	}
	return w.host.pool.Conns(w.target.ID())
}

// sender returns the sender that runs the sub-requests.
func (w *worker) sender() magnoliashore.Sender {
	if w.host.Sender != nil {
		return w.host.Sender
	}
	return w.host.pool
}

func (w *worker) close() { w.closeOnce.Do(func() { close(w.closed) }) }

func (w *worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// connectionChanged records that a connection was opened or lost.
func (w *worker) connectionChanged(up bool) {
	w.linkMu.Lock()
	w.linkChanges = append(w.linkChanges, up)
	w.linkMu.Unlock()
	w.notify()
}

// String describes the worker in lower case.
func (w *worker) String() string { return "sending to target " + string(w.target.ID()) }

// Run handles messages until ctx ends or the target is no longer published. After
// a panic it first waits for the exchanges of the failed run.
func (w *worker) Run(ctx context.Context) error {
	w.awaitAbandoned(ctx, w.reset())
	w.run(ctx)
	w.host.pool.Close(w.target.ID())
	return nil
}

func (w *worker) newTracker() *warm.Tracker {
	return warm.New(warm.Config{
		ColdLimit: w.service.Cold(), Slots: w.service.Slots(), MaxAge: w.host.Settings.Warm.Fresh,
		SlowFactor: w.host.Settings.Warm.Jump, ShedLimit: w.host.Settings.Warm.Sheds, RepliesPerStep: w.host.Settings.Warm.Steps,
	})
}

func (w *worker) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx) // a separate context, so that exchanges do not contend for the host's
	defer cancel()
	var sweep *timer.Subscription
	var sweeps <-chan time.Time
	for {
		if w.queue.Len() > 0 && sweep == nil {
			sweep = w.host.Timer.After(expiryInterval)
			sweeps = sweep.C
		}
		select {
		case <-ctx.Done():
			w.refuseQueued()
			return
		case <-w.closed:
			w.refuseQueued()
			w.finishRunning(ctx)
			return
		case message := <-w.inbox.Items():
			w.applyLinkChanges()
			w.handle(ctx, message)
		case message := <-w.done:
			w.applyLinkChanges()
			w.handle(ctx, message)
		case <-w.wake:
			w.applyView()
		case <-sweeps:
			sweep, sweeps = nil, nil
		}
		w.applyLinkChanges()
		w.expire()
		w.dispatch(ctx)
		w.keepSpare(ctx, w.host.Timer.Now())
	}
}

func (w *worker) handle(ctx context.Context, message any) {
	switch m := message.(type) {
	case submitted:
		w.submit(m.job)
	case withdrawn:
		w.withdraw(m.job)
	case finished:
		w.finish(ctx, m.job)
	case slotFreed:
		w.freeSlot(m.cold)
	case probeResult:
		w.applyHealth(m)
	}
}

// applyLinkChanges updates the warmth estimate with the connections opened and
// lost. It runs before every decision, so that no work is sent because of an
// estimate that depends on a lost connection.
func (w *worker) applyLinkChanges() {
	if w.host.Sender == nil {
		w.reportedBreaks = w.host.pool.ReportedBreaks(w.target.ID()) // read before the changes, so that they include every loss it counts
	}
	w.linkMu.Lock()
	changes := w.linkChanges
	w.linkChanges = nil
	w.linkMu.Unlock()
	if len(changes) == 0 {
		return
	}
	now := w.host.Timer.Now()
	for _, up := range changes {
		if up {
			w.warmth.Connected(now)
		} else {
			w.warmth.Lost(now)
		}
	}
	w.reportWarmth(now)
}

// applyView applies changes of the service's settings and of the target's
// address.
func (w *worker) applyView() {
	view := w.host.view()
	w.updateUsable(view)
	t, ok := view.Layout().Target(w.target.ID())
	if !ok {
		return
	}
	service, ok := view.Table().Service(t.Service())
	if !ok {
		return
	}
	reopen := t.Address() != w.target.Address() || service.Conns() != w.service.Conns()
	w.target, w.service = t, service
	w.warmth.Resize(service.Cold(), service.Slots())
	if reopen {
		w.openConnections()
	}
}

// updateUsable records whether the target may get new work, and emits an event
// when it no longer may.
func (w *worker) updateUsable(view magnoliashore.View) {
	reason, usable := view.Usable(w.target.ID())
	if !usable && !w.unusable {
		w.host.emit(magnoliashore.EventSpec{Code: event.TargetOut, Target: w.target.ID(), Detail: string(reason)})
	}
	w.unusable = !usable
}

// reportWarmth emits an event when the target becomes cold or warm.
func (w *worker) reportWarmth(now time.Time) {
	cold := w.warmth.Cold(now)
	if cold == w.reportedCold {
		return
	}
	w.reportedCold = cold
	code := event.TargetWarm
	detail := ""
	if cold {
		code = event.TargetCold
		detail = w.warmth.ColdReason()
	}
	w.host.emit(magnoliashore.EventSpec{Code: code, Target: w.target.ID(), Detail: detail})
}
