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
	cold      bool      // the target was held cold when the job started
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
	belief  *warm.Belief
	jobs    map[uint64]*job
	next    uint64
	busy    int
	latency time.Duration
	cold    bool
	conns   int
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
		queue:  h.newQueue(row.Queue()),
		jobs:   make(map[uint64]*job),
		cold:   true,
	}
	w.belief = warm.New(warm.Config{
		Cold: row.Cold(), Slots: row.Slots(), Fresh: h.Settings.Warm.Fresh, Jump: h.Settings.Warm.Jump,
		Sheds: h.Settings.Warm.Sheds, Steps: h.Settings.Warm.Steps,
	})
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

// run takes messages until ctx ends or the target is no longer published.
func (w *worker) run(ctx context.Context) {
	defer w.host.pool.Close(w.target.ID())
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
	}
}

// absorb takes in changes of the connections. It runs before every decision,
// so that no work is sent on a belief whose connection has broken.
func (w *worker) absorb() {
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
		detail = w.belief.Why()
	}
	w.host.emit(magnoliashore.EventSpec{Code: code, Target: w.target.ID(), Detail: detail})
}

// submit queues the job, or refuses it at once with the reason.
func (w *worker) submit(j *job) {
	now := w.host.Timer.Now()
	w.next++
	j.id = w.next
	if reason, ok := w.host.view().Usable(w.target.ID()); !ok {
		w.refuse(j, reason, w.host.Settings.Limits.Keep)
		return
	}
	limit := w.limit(now)
	if limit == 0 {
		w.refuse(j, magnoliashore.ReasonOwner, w.host.Settings.Lease.Heartbeat)
		return
	}
	if reason, ok := w.permitted(now); !ok {
		w.refuse(j, reason, w.host.Settings.Lease.Heartbeat)
		return
	}
	refusal, ok := w.queue.Offer(now, magnoliashore.Job{
		ID: j.id, Class: w.row.Class(), Service: w.row.Name(), Weight: w.row.Weight(),
		Deadline: j.sub.Deadline(), Arrived: now,
	}, limit, w.busy)
	if !ok {
		w.refuse(j, refusal.Reason, refusal.After)
		return
	}
	w.jobs[j.id] = j
}

// limit returns how many requests this host may run on the target now. At
// most one of them needs a new connection: if the target was replaced and the
// break of the old connections is not seen yet, the new process gets one.
func (w *worker) limit(now time.Time) int {
	limit := min(w.belief.Limit(now), w.standing()+1)
	return w.host.control.ownership.Share(now, w.target.ID(), limit)
}

// permitted reports whether work may start now: on a cold target only under a
// lease.
func (w *worker) permitted(now time.Time) (magnoliashore.Reason, bool) {
	if !w.belief.Cold(now) {
		return magnoliashore.ReasonNone, true
	}
	if _, ok := w.host.control.ownership.Until(now, w.target.ID()); !ok {
		return magnoliashore.ReasonLease, false
	}
	return magnoliashore.ReasonNone, true
}

func (w *worker) refuse(j *job, reason magnoliashore.Reason, after time.Duration) {
	w.host.meters.refused(reason)
	w.answer(j, magnoliashore.Refuse(j.sub, reason, after))
}

func (w *worker) answer(j *job, answer magnoliashore.SubAnswer) {
	w.host.workers.load.Add(-1)
	if j.withdrawn {
		return
	}
	now := w.host.Timer.Now()
	j.reply(answer.WithLoad(magnoliashore.NewLoad(
		w.queue.Len(), w.busy, w.limit(now), w.belief.Cold(now), w.latency)))
}

// withdraw takes the job out of the queue or stops its exchange.
func (w *worker) withdraw(j *job) {
	if j.withdrawn {
		return
	}
	if _, known := w.jobs[j.id]; !known || j.id == 0 {
		return
	}
	j.withdrawn = true
	if w.queue.Remove(j.id) {
		delete(w.jobs, j.id)
		w.host.workers.load.Add(-1)
		return
	}
	if j.cancel != nil {
		j.cancel()
	}
}

// expire refuses the queued jobs that can no longer be answered in time.
func (w *worker) expire() {
	if w.queue.Len() == 0 {
		return
	}
	for _, expired := range w.queue.Expired(w.host.Timer.Now()) {
		j := w.jobs[expired.ID]
		delete(w.jobs, expired.ID)
		w.refuse(j, magnoliashore.ReasonDeadline, w.latency)
	}
}

// dispatch starts queued jobs while the target has room.
func (w *worker) dispatch(ctx context.Context) {
	for w.queue.Len() > 0 {
		now := w.host.Timer.Now()
		if w.busy >= w.limit(now) {
			return
		}
		next, ok := w.queue.Next(now)
		if !ok {
			return
		}
		j := w.jobs[next.ID]
		w.startOrRefuse(ctx, now, j)
	}
}

func (w *worker) startOrRefuse(ctx context.Context, now time.Time, j *job) {
	if reason, ok := w.host.view().Usable(w.target.ID()); !ok {
		delete(w.jobs, j.id)
		w.refuse(j, reason, w.host.Settings.Limits.Keep)
		return
	}
	end := j.sub.Deadline()
	j.cold = w.belief.Cold(now)
	if j.cold {
		w.coldBusy.Add(1) // before the look at the lease, which may be given back when this is zero
		until, ok := w.host.control.ownership.Until(now, w.target.ID())
		if !ok || until.Sub(now) < leastWindow {
			w.coldBusy.Add(-1)
			delete(w.jobs, j.id)
			w.refuse(j, magnoliashore.ReasonLease, w.host.Settings.Lease.Heartbeat)
			return
		}
		if until.Before(end) {
			end = until
		}
	}
	j.until = end
	w.start(ctx, j)
}

// start runs the exchange. Its last check before the write is made by the
// connection itself, against the end of the lease or of the deadline.
func (w *worker) start(ctx context.Context, j *job) {
	w.busy++
	sub := j.sub
	notAfter := time.Time{}
	if j.cold {
		sub = sub.WithDeadline(j.until)
		notAfter = j.until
	}
	exchange, cancel := context.WithDeadline(ctx, j.until)
	j.cancel = cancel
	t := w.target
	w.host.meters.subs.Inc()
	go func() {
		defer cancel()
		j.answer, j.evidence = w.send(exchange, sub, t, notAfter)
		w.report(ctx, finished{job: j})
	}()
}

// send runs the exchange; a panic on the way leaves the outcome unknown.
func (w *worker) send(
	ctx context.Context, sub magnoliashore.Sub, t magnoliashore.Target, notAfter time.Time,
) (answer magnoliashore.SubAnswer, evidence magnoliashore.Evidence) {
	defer func() {
		if fault := recover(); fault != nil {
			w.host.fault("sending to a target", fault)
			answer = magnoliashore.Lose(sub, magnoliashore.ReasonFault)
		}
	}()
	return w.sender().Send(ctx, sub, t, notAfter)
}

func (w *worker) report(ctx context.Context, message any) {
	select {
	case w.done <- message:
	case <-ctx.Done():
	}
}

// finish takes in the end of an exchange. The slot of an exchange that was
// cut short stays taken for as long as the target may still work on it.
func (w *worker) finish(ctx context.Context, j *job) {
	now := w.host.Timer.Now()
	delete(w.jobs, j.id)
	w.free(ctx, now, j)
	w.belief.Learn(now, j.evidence)
	if j.evidence.Healthy {
		w.queue.Ran(j.evidence.Took)
		w.latency += (j.evidence.Took - w.latency) / latencyTau
	}
	w.reportWarmth(now)
	w.answer(j, j.answer)
}

func (w *worker) free(ctx context.Context, now time.Time, j *job) {
	linger := j.until.Sub(now)
	if !j.cold {
		linger = min(linger, lingerWarm)
	}
	if j.answer.Outcome() != magnoliashore.OutcomeUnknown || linger <= 0 {
		w.freeSlot(j.cold)
		return
	}
	go w.releaseAfter(ctx, linger, j.cold)
}

// releaseAfter reports a slot as free again after a time.
func (w *worker) releaseAfter(ctx context.Context, linger time.Duration, cold bool) {
	wake := w.host.Timer.After(linger)
	defer wake.Stop()
	select {
	case <-wake.C:
		w.report(ctx, released{cold: cold})
	case <-ctx.Done():
	}
}

func (w *worker) freeSlot(cold bool) {
	w.busy--
	if cold {
		w.coldBusy.Add(-1)
	}
}

// drop refuses every queued job.
func (w *worker) drop() {
	for w.queue.Len() > 0 {
		next, ok := w.queue.Next(w.host.Timer.Now())
		if !ok {
			return
		}
		j := w.jobs[next.ID]
		delete(w.jobs, next.ID)
		w.refuse(j, magnoliashore.ReasonLeaving, 0)
	}
}

// finishRunning waits for the exchanges of a target that is gone, and refuses
// what still arrives.
func (w *worker) finishRunning(ctx context.Context) {
	for w.busy > 0 {
		select {
		case <-ctx.Done():
			return
		case message := <-w.done:
			w.take(ctx, message)
		case message := <-w.inbox.Items():
			if m, ok := message.(submitted); ok {
				w.refuse(m.job, magnoliashore.ReasonLeaving, 0)
			}
		}
	}
}
