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

// Times of a target's duty.
const (
	retryBusy   = 5 * time.Millisecond  // when to come back to a full ring
	queueSweep  = 4 * time.Millisecond  // between two looks for jobs that expired in the queue
	lingerWarm  = 10 * time.Millisecond // a warm target's slot after its work was cut short
	leastWindow = 5 * time.Millisecond  // shortest rest of a lease in which cold work starts
	latencyTau  = 8                     // answers over which the latency is smoothed
	doneSize    = 16                    // ended exchanges that wait for the duty without holding a goroutine
)

// job is one sub-request on its way through the duty of its target.
type job struct {
	sub       magnoliashore.Sub
	reply     func(magnoliashore.SubAnswer)
	id        uint64
	cancel    context.CancelFunc // of the running exchange
	withdrawn bool
	until     time.Time // the deadline that the target was told
	permit    magnoliashore.Permit
	cold      bool // the target was held cold when the job started
	answer    magnoliashore.SubAnswer
	evidence  magnoliashore.Evidence
}

// Messages of the duty's inbox.
type (
	submitted struct{ job *job }
	withdrawn struct{ job *job }
	finished  struct{ job *job }  // with its answer and evidence
	released  struct{ cold bool } // a slot whose work was cut short is free again
)

// worker is the duty of one target: it alone decides what is sent to it.
type worker struct {
	host   *Host
	inbox  *ring.Ring[any]
	closed chan struct{}
	once   sync.Once
	signal chan struct{}

	linkMu sync.Mutex
	links  []bool // changes of connection not yet taken in

	coldBusy atomic.Int64 // requests that were sent to the target while it was held cold

	done    chan any // finished and released
	target  magnoliashore.Target
	row     magnoliashore.Service
	queue   magnoliashore.Queue
	belief  *warm.Tracker
	jobs    map[uint64]*job
	next    uint64
	busy    int
	latency time.Duration
	cold    bool
	out     bool // gets no new work
	conns   int
	era     uint64    // breaks of connections that the belief takes into account
	worked  time.Time // when the last request was started
	probing bool      // a probe is under way
}

func newWorker(h *Host, t magnoliashore.Target, row magnoliashore.Service) *worker {
	w := &worker{
		host:   h,
		inbox:  ring.New[any](h.Settings.Limits.Ring),
		closed: make(chan struct{}),
		signal: make(chan struct{}, 1),
		done:   make(chan any, doneSize),
		target: t,
		row:    row,
		jobs:   make(map[uint64]*job),
		cold:   true,
	}
	w.reset()
	w.open()
	return w
}

// connShares is how many entry hosts may hold connections to one target at
// once: its owner and two standbys or former owners.
const connShares = 3

func (w *worker) open() {
	w.conns = max(1, w.row.Conns()/connShares)
	if w.host.Sender != nil {
		w.connection(true)
		return
	}
	w.host.pool.Open(w.target, w.conns)
}

// standing returns how many connections to the target stand now.
func (w *worker) standing() int {
	if w.host.Sender != nil {
		return w.conns
	}
	return w.host.pool.Conns(w.target.ID())
}

// sender returns what runs the sub-requests.
func (w *worker) sender() magnoliashore.Sender {
	if w.host.Sender != nil {
		return w.host.Sender
	}
	return w.host.pool
}

func (w *worker) end() { w.once.Do(func() { close(w.closed) }) }

func (w *worker) refresh() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

func (w *worker) connection(up bool) {
	w.linkMu.Lock()
	w.links = append(w.links, up)
	w.linkMu.Unlock()
	w.refresh()
}

// String says what the duty does, in lower case.
func (w *worker) String() string { return "sending to target " + string(w.target.ID()) }

// Run takes messages until ctx ends or the target is no longer published.
func (w *worker) Run(ctx context.Context) error {
	w.awaitOld(ctx, w.reset())
	w.run(ctx)
	w.host.pool.Close(w.target.ID())
	return nil
}

func (w *worker) newBelief() *warm.Tracker {
	return warm.New(warm.Config{
		Cold: w.row.Cold(), Slots: w.row.Slots(), MaxAge: w.host.Settings.Warm.Fresh,
		SlowFactor: w.host.Settings.Warm.Jump, ShedLimit: w.host.Settings.Warm.Sheds, RepliesPerStep: w.host.Settings.Warm.Steps,
	})
}

func (w *worker) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx) // of its own, so that exchanges do not contend for the host's
	defer cancel()
	var sweep *timer.Subscription
	var sweeps <-chan time.Time
	for {
		if w.queue.Len() > 0 && sweep == nil {
			sweep = w.host.Timer.After(queueSweep)
			sweeps = sweep.C
		}
		select {
		case <-ctx.Done():
			w.drop()
			return
		case <-w.closed:
			w.drop()
			w.finishRunning(ctx)
			return
		case message := <-w.inbox.Items():
			w.absorb()
			w.take(ctx, message)
		case message := <-w.done:
			w.absorb()
			w.take(ctx, message)
		case <-w.signal:
			w.follow()
		case <-sweeps:
			sweep, sweeps = nil, nil
		}
		w.absorb()
		w.expire()
		w.dispatch(ctx)
		w.keepSpare(ctx, w.host.Timer.Now())
	}
}

func (w *worker) take(ctx context.Context, message any) {
	switch m := message.(type) {
	case submitted:
		w.submit(m.job)
	case withdrawn:
		w.withdraw(m.job)
	case finished:
		w.finish(ctx, m.job)
	case released:
		w.freeSlot(m.cold)
	case probed:
		w.learnHealth(m)
	}
}

// absorb takes in changes of the connections. It runs before every decision,
// so that no work is sent on a belief whose connection has broken.
func (w *worker) absorb() {
	if w.host.Sender == nil {
		w.era = w.host.pool.Era(w.target.ID()) // before the changes: each break that it counts is among them
	}
	w.linkMu.Lock()
	changes := w.links
	w.links = nil
	w.linkMu.Unlock()
	if len(changes) == 0 {
		return
	}
	now := w.host.Timer.Now()
	for _, up := range changes {
		if up {
			w.belief.Connected(now)
		} else {
			w.belief.Lost(now)
		}
	}
	w.reportWarmth(now)
}

// follow takes in changes of the row and the address.
func (w *worker) follow() {
	view := w.host.view()
	w.reportUsable(view)
	t, ok := view.Layout().Target(w.target.ID())
	if !ok {
		return
	}
	row, ok := view.Table().Service(t.Service())
	if !ok {
		return
	}
	moved := t.Address() != w.target.Address() || row.Conns() != w.row.Conns()
	w.target, w.row = t, row
	w.belief.Resize(row.Cold(), row.Slots())
	if moved {
		w.open()
	}
}

// reportUsable emits an event when the target is no longer to get new work.
func (w *worker) reportUsable(view magnoliashore.View) {
	reason, usable := view.Usable(w.target.ID())
	if !usable && !w.out {
		w.host.emit(magnoliashore.EventSpec{Code: event.TargetOut, Target: w.target.ID(), Detail: string(reason)})
	}
	w.out = !usable
}

func (w *worker) reportWarmth(now time.Time) {
	cold := w.belief.Cold(now)
	if cold == w.cold {
		return
	}
	w.cold = cold
	code := event.TargetWarm
	detail := ""
	if cold {
		code = event.TargetCold
		detail = w.belief.ColdReason()
	}
	w.host.emit(magnoliashore.EventSpec{Code: code, Target: w.target.ID(), Detail: detail})
}
