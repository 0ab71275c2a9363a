package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/notice"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/reach"
	"github.com/magnoliashore/magnoliashore/ring"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	// Time between two looks at the failing targets.
	reachInterval = 200 * time.Millisecond
	// A target fails if its latest request failed so recently, or has no answer after
	// so long.
	failureWindow  = time.Second
	answerPatience = 300 * time.Millisecond
	// Failing targets of a zone from which a cut is suspected.
	suspiciousTargets = 3
	// Targets of a zone that a test connects to, and hosts that are asked to do so too.
	testTargets = 3
	testPeers   = 3
	// Time for a connection in a test, and for the results of other hosts.
	testDialTimeout = 300 * time.Millisecond
	testTimeout     = 450 * time.Millisecond
	// Delay beyond testDialTimeout from which this host lacked processor time, so that
	// a test says nothing.
	maxTestDelay = 50 * time.Millisecond
	// Targets per second that this host connects to for others, and at once.
	maxTestRate  = 30
	maxTestBurst = 60
	// Events of tests that wait to be handled.
	reachInboxSize = 256
)

// reachTest is a test that runs.
type reachTest struct {
	outcome reach.Test
	began   time.Time
	ownDone bool
}

// testEvent is a result of a test: of this host if from is empty.
type testEvent struct {
	from    string
	number  uint64
	reached int
	void    string // why this host could not test its connections; empty if it could
}

// reachability finds out which zones' targets this host is cut off from.
type reachability struct {
	engine *Engine
	zone   magnoliashore.ZoneName
	peers  func() []string // other hosts to ask, those that probably reach targets first
	send   func(peer string, m notice.Message)
	setCut func(cut bool) // announces whether this host is cut off
	timer  *timer.Service
	log    log.Interface

	inbox *ring.Ring[testEvent]

	// Used by the goroutine of run only.
	tests      map[uint64]*reachTest
	lastNumber uint64
	announced  bool

	// Used by the goroutine of the notices only.
	served admit.Bucket // targets that this host may connect to for others
}

// run looks for cuts until ctx ends.
func (r *reachability) run(ctx context.Context) {
	ticks := r.timer.Every(reachInterval)
	defer ticks.Stop()
	r.tests = make(map[uint64]*reachTest)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			r.expire()
			r.look(ctx)
		case ev := <-r.inbox.Items():
			r.handle(ev)
		}
	}
}

// look records which zones have failing targets, and starts the tests that are due.
func (r *reachability) look(ctx context.Context) {
	now := r.timer.Now()
	zones := r.engine.View().Zones()
	for zone, change := range r.engine.observeZones(now, zones) {
		r.report(zone, change, reach.Test{})
	}
	for _, zone := range r.engine.dueTests(now) {
		r.start(ctx, now, zone, zones[zone])
	}
}

// start starts a test of a zone with random targets.
func (r *reachability) start(ctx context.Context, now time.Time, zone magnoliashore.ZoneName, targets []*catalog.Target) {
	r.lastNumber++
	test := &reachTest{outcome: reach.Test{Zone: zone}, began: now}
	r.tests[r.lastNumber] = test
	request := notice.Test{Number: r.lastNumber}
	tried := make([]*catalog.Target, 0, testTargets)
	for _, i := range rand.Perm(len(targets))[:min(testTargets, len(targets))] {
		tried = append(tried, targets[i])
		request.Targets = append(request.Targets, targets[i].ID())
	}
	test.outcome.Tried = len(tried)
	number := r.lastNumber
	go func() {
		reached, err := r.connect(ctx, tried)
		event := testEvent{number: number, reached: reached}
		switch {
		case err != nil:
			event.void = err.Error()
		case r.timer.Now().Sub(now) > testDialTimeout+maxTestDelay:
			event.void = "lack of processor time"
		}
		r.inbox.Push(event)
	}()
	peers := r.peers()
	for _, peer := range peers[:min(len(peers), testPeers)] {
		r.send(peer, notice.Message{Tests: []notice.Test{request}})
	}
}

// connect returns how many of the targets a connection could be opened to. It returns an
// error if this host cannot open connections at all.
func (r *reachability) connect(ctx context.Context, targets []*catalog.Target) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, testDialTimeout)
	defer cancel()
	type outcome struct {
		ok  bool
		err error
	}
	outcomes := make(chan outcome, len(targets))
	for _, t := range targets {
		go func() {
			ok, err := r.engine.Pool.Connects(ctx, t)
			outcomes <- outcome{ok: ok, err: err}
		}()
	}
	n := 0
	var failure error
	for range targets {
		o := <-outcomes
		if o.ok {
			n++
		}
		if errors.Is(o.err, origin.ErrExhausted) {
			failure = o.err
		}
	}
	return n, failure
}

// serveTest runs a test for another host, unless it has too much of this kind to do.
// A host that does not answer is not counted.
func (r *reachability) serveTest(from string, t notice.Test) {
	var targets []*catalog.Target
	view := r.engine.View()
	for _, id := range t.Targets {
		if target := view.Target(id); target != nil {
			targets = append(targets, target)
		}
	}
	if len(targets) == 0 || r.served.Refill(r.timer.Now(), maxTestRate, maxTestBurst) < float64(len(targets)) {
		return
	}
	r.served.Spend(float64(len(targets)))
	go func() {
		reached, err := r.connect(context.Background(), targets)
		if err != nil {
			r.log.WithError(err).WithField("peer", from).Info("cannot test connections for another host")
			return
		}
		r.send(from, notice.Message{Results: []notice.TestResult{{Number: t.Number, Reached: reached}}})
	}()
}

// receive queues the result of another host.
func (r *reachability) receive(from string, result notice.TestResult) {
	if !r.inbox.Push(testEvent{from: from, number: result.Number, reached: result.Reached}) {
		r.engine.Metrics.noticesDropped.Inc()
	}
}

// handle records a result, and ends its test if the outcome is clear.
func (r *reachability) handle(ev testEvent) {
	test, ok := r.tests[ev.number]
	if !ok {
		return
	}
	if ev.void != "" && ev.reached == 0 {
		delete(r.tests, ev.number)
		r.log.WithFields(log.Fields{"targetzone": string(test.outcome.Zone), "reason": ev.void}).Info("a test of this host's connections is void")
		return
	}
	if ev.from == "" {
		test.outcome.Own, test.ownDone = ev.reached, true
	} else {
		reached := min(ev.reached, test.outcome.Tried)
		test.outcome.Others = max(test.outcome.Others, reached)
		if reached > 0 {
			r.engine.Hosts.Confirm(ev.from)
		}
	}
	if test.ownDone && (test.outcome.Own > 0 || test.outcome.Others == test.outcome.Tried) {
		r.finish(ev.number, test)
	}
}

// expire ends the tests that have run for long enough.
func (r *reachability) expire() {
	for number, test := range r.tests {
		if test.ownDone && r.timer.Now().Sub(test.began) >= testTimeout {
			r.finish(number, test)
		}
	}
}

// finish records the outcome of a test.
func (r *reachability) finish(number uint64, test *reachTest) {
	delete(r.tests, number)
	change := r.engine.recordTest(test.outcome)
	if change != reach.Unchanged || test.outcome.Own == 0 {
		r.report(test.outcome.Zone, change, test.outcome)
	}
}

// report logs a change or a test, and announces whether this host is cut off.
func (r *reachability) report(zone magnoliashore.ZoneName, change reach.Change, t reach.Test) {
	fields := log.Fields{"targetzone": string(zone), "tried": t.Tried, "connected": t.Own, "others": t.Others}
	switch change {
	case reach.Unchanged:
		r.log.WithFields(fields).Info("no connection to the targets of an availability zone")
		return
	case reach.CutBegan:
		r.engine.Metrics.cuts.Inc()
		r.log.WithFields(fields).Warn("this host is cut off from targets that others reach")
	case reach.Returning:
		r.log.WithFields(fields).Info("targets can be reached again; a share of the requests goes there")
	case reach.Returned:
		r.log.WithFields(fields).Info("all requests go to the targets again")
	}
	if cut := r.engine.cutOff(r.zone); cut != r.announced {
		r.announced = cut
		r.setCut(cut)
	}
}
