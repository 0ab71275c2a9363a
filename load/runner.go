package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Limits of a run.
const (
	startTimeout = 20 * time.Second // for a cell to become ready
	answerGrace  = 2 * time.Second  // extra wait for an answer after the deadline
	maxInFlight  = 20_000           // queries in flight at once
)

// Runner runs an experiment. Set the exported fields before Run.
type Runner struct {
	Experiment Experiment
	Progress   io.Writer // receives one line for each policy; may be nil
	Clock      *timer.Service

	stopping errgroup.Group
}

// Run runs the policies one after another and returns the measurements. The
// error names the policy and the step that failed. Each cell stops in the
// background while the next one starts.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	report, err := r.run(ctx)
	return report, errors.CombineErrors(err, r.stopping.Wait())
}

func (r *Runner) run(ctx context.Context) (Report, error) {
	report := newReport(r.Experiment)
	for _, p := range r.Experiment.policies {
		r.logProgress("policy " + p.name)
		result, err := r.policy(ctx, p)
		if err != nil {
			return report, magnoliashore.Step(err, "run policy", p.name)
		}
		report.add(result)
	}
	return report, nil
}

func (r *Runner) logProgress(line string) {
	if r.Progress != nil {
		_, _ = io.WriteString(r.Progress, line+"\n")
	}
}

// site returns the system that receives the load of a policy.
func (r *Runner) site(p policy) site {
	switch {
	case !r.Experiment.embedded:
		return newRemoteSite(r.Experiment, p, r.Clock)
	case p.direct:
		return newDirectSite(r.Experiment, r.Clock)
	default:
		return newEmbeddedSite(r.Experiment, p)
	}
}

// policy runs one policy on a new site.
func (r *Runner) policy(ctx context.Context, p policy) (policyResult, error) {
	s := r.site(p)
	// siteCtx outlives the start of the site and ends after the site has stopped.
	siteCtx, cancel := context.WithCancel(ctx)
	defer r.stopping.Go(func() error {
		defer cancel()
		return magnoliashore.Step(s.stop(), "stop the cell of policy", p.name)
	})
	if err := startWithin(siteCtx, cancel, r.Clock, s); err != nil {
		return policyResult{}, magnoliashore.Step(err, "start the cell", "")
	}
	run := newRun(r.Experiment, p, s, r.Clock)
	if err := run.load(ctx); err != nil {
		return policyResult{}, err
	}
	err := run.auditAnswers(ctx)
	return run.result, err
}

// startWithin starts the site under ctx. If the site is not ready after
// startTimeout, it calls cancel, which must cancel ctx.
func startWithin(ctx context.Context, cancel func(), clock *timer.Service, s site) error {
	started := make(chan error, 1)
	go func() { started <- s.start(ctx) }()
	timeout := clock.After(startTimeout)
	defer timeout.Stop()
	select {
	case err := <-started:
		return err
	case <-timeout.C:
		cancel()
		return errors.CombineErrors(errors.Newf("not ready after %v", startTimeout), <-started)
	}
}

// run is the run of one policy.
type run struct {
	experiment Experiment
	policy     policy
	site       site
	clock      *timer.Service
	client     queryClient
	recorder   *recorder
	idPrefix   string        // of the query IDs
	start      time.Time     // start of the warm-up
	inFlight   chan struct{} // one element for each query in flight
	injector   *injector
	result     policyResult
}

func newRun(e Experiment, p policy, s site, clock *timer.Service) *run {
	start := clock.Now()
	return &run{
		experiment: e, policy: p, site: s, clock: clock,
		client:   s.client(),
		recorder: newRecorder(e),
		idPrefix: fmt.Sprintf("%s-%s-%s-", e.name, p.name, strconv.FormatInt(start.UnixMilli(), 36)),
		start:    start,
		inFlight: make(chan struct{}, maxInFlight),
		injector: &injector{
			Site: s, Clock: clock, Cell: e.shape.Cell(), Faults: applicableFaults(e, p), Start: start.Add(e.warmup),
		},
	}
}

// applicableFaults returns the faults that apply to a policy. A direct policy
// has no entry hosts and gets only the faults of targets.
func applicableFaults(e Experiment, p policy) []fault {
	if !p.direct {
		return e.faults
	}
	return slices.DeleteFunc(slices.Clone(e.faults), func(f fault) bool {
		return f.action != actionChill && f.action != actionRestart
	})
}

// load sends the schedule while the injector runs.
func (r *run) load(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	injectorDone := make(chan error, 1)
	go func() { injectorDone <- r.injector.Run(ctx) }()
	var queries sync.WaitGroup
	err := r.send(ctx, &queries)
	queries.Wait()
	cancel()
	return errors.CombineErrors(<-injectorDone, err)
}

// send starts every query of the schedule at its time. It fails when a query is
// due while maxInFlight others are in flight.
func (r *run) send(ctx context.Context, queries *sync.WaitGroup) error {
	for n, a := range schedule(r.experiment, r.policy.rateFactor) {
		if !r.waitUntil(ctx, r.start.Add(a.at)) {
			return ctx.Err()
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			return errors.Newf("%d queries are in flight, the maximum of the load process", maxInFlight)
		}
		queries.Go(func() {
			defer func() { <-r.inFlight }()
			r.runQuery(ctx, n, a)
		})
	}
	return nil
}

// waitUntil waits until at. It returns false if ctx ends first.
func (r *run) waitUntil(ctx context.Context, at time.Time) bool {
	if !r.clock.Now().Before(at) {
		return ctx.Err() == nil
	}
	wakeup := r.clock.At(at)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runQuery sends one query and records the result. The latency and the
// deadline count from the scheduled time.
func (r *run) runQuery(ctx context.Context, n int, a arrival) {
	g := r.experiment.groups[a.group]
	due := r.start.Add(a.at)
	delay := r.clock.Now().Sub(due)
	r.recorder.addSendDelay(a, delay)
	ctx, cancel := context.WithTimeout(ctx, g.deadline+answerGrace)
	defer cancel()
	q := scheduledQuery{
		id: magnoliashore.QueryID(r.idPrefix + strconv.Itoa(n)), group: g, arrival: a,
		deadline: max(g.deadline-delay, time.Millisecond),
	}
	answer := r.client.query(ctx, q)
	r.recorder.add(a, q.id, queryResult{answer: answer, latency: r.clock.Now().Sub(due), deadline: g.deadline})
}

// auditAnswers compares the answers with the targets' ledgers and sets r.result.
func (r *run) auditAnswers(ctx context.Context) error {
	records, err := r.site.ledger(ctx)
	if err != nil {
		return magnoliashore.Step(err, "read the targets' ledgers", "")
	}
	zones := make(map[string]string)
	for _, t := range r.experiment.shape.Targets() {
		zones[t.ID] = t.Zone
	}
	begin := r.start.Add(r.experiment.warmup)
	events, err := r.site.events(ctx)
	if err != nil {
		return magnoliashore.Step(err, "read the entry hosts' events", "")
	}
	slices.SortStableFunc(events, func(a, b magnoliashore.Event) int { return a.At().Compare(b.At()) })
	records = r.ownRecords(records)
	a := &auditor{
		records: records, outcomes: r.recorder.outcomes, faults: r.injector.injectedFaults(), zones: zones,
		begin: begin, end: begin.Add(r.experiment.length),
	}
	r.result = policyResult{
		policy: r.policy.name, begin: begin, end: begin.Add(r.experiment.length), recorder: r.recorder, records: records,
		events: events, audit: a.audit(),
	}
	return nil
}

// ownRecords returns the records that belong to queries of this run.
func (r *run) ownRecords(records []record) []record {
	var list []record
	for _, record := range records {
		if _, ok := r.recorder.outcomes[record.query]; ok {
			list = append(list, record)
		}
	}
	return list
}
