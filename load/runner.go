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

// Bounds of a run.
const (
	startLimit = 20 * time.Second // for a cell to become ready
	grace      = 2 * time.Second  // after a deadline, before a query is given up
	maxOpen    = 20_000           // queries without an answer at one time
)

// Runner runs an experiment. Set the exported fields before Run.
type Runner struct {
	Experiment Experiment
	Progress   io.Writer // takes a line for each policy; may be nil
	Clock      *timer.Service

	stopping errgroup.Group
}

// Run runs every policy, one after another, and returns what it measured. The
// error names the policy and the step that failed. A cell that has no load any
// more stops while the next one starts.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	report, err := r.run(ctx)
	return report, errors.CombineErrors(err, r.stopping.Wait())
}

func (r *Runner) run(ctx context.Context) (Report, error) {
	report := newReport(r.Experiment)
	for _, p := range r.Experiment.policies {
		r.say("policy " + p.name)
		result, err := r.policy(ctx, p)
		if err != nil {
			return report, magnoliashore.Step(err, "run policy", p.name)
		}
		report.add(result)
	}
	return report, nil
}

func (r *Runner) say(line string) {
	if r.Progress != nil {
		_, _ = io.WriteString(r.Progress, line+"\n")
	}
}

// site returns the system that a policy loads.
func (r *Runner) site(p policy) site {
	switch {
	case !r.Experiment.embedded:
		return newRemoteSite(r.Experiment, p, r.Clock)
	case p.direct:
		return newDirectSite(r.Experiment, r.Clock)
	default:
		return newEmbedded(r.Experiment, p)
	}
}

// policy runs one policy on a system of its own.
func (r *Runner) policy(ctx context.Context, p policy) (result, error) {
	s := r.site(p)
	// The site lives on after its start, until stop.
	life, end := context.WithCancel(ctx)
	defer r.stopping.Go(func() error {
		defer end()
		return magnoliashore.Step(s.stop(), "stop the cell of policy", p.name)
	})
	if err := startWithin(life, end, r.Clock, s); err != nil {
		return result{}, magnoliashore.Step(err, "start the cell", "")
	}
	run := newRun(r.Experiment, p, s, r.Clock)
	if err := run.load(ctx); err != nil {
		return result{}, err
	}
	err := run.inspect(ctx)
	return run.result, err
}

// startWithin starts the site with the life of ctx. If that takes too long it
// calls end, which ends ctx.
func startWithin(ctx context.Context, end func(), clock *timer.Service, s site) error {
	started := make(chan error, 1)
	go func() { started <- s.start(ctx) }()
	limit := clock.After(startLimit)
	defer limit.Stop()
	select {
	case err := <-started:
		return err
	case <-limit.C:
		end()
		return errors.CombineErrors(errors.Newf("not ready after %v", startLimit), <-started)
	}
}

// run is the load of one policy.
type run struct {
	experiment Experiment
	policy     policy
	site       site
	clock      *timer.Service
	asker      asker
	recorder   *recorder
	prefix     string    // of the names of its queries
	start      time.Time // of the warm-up
	tokens     chan struct{}
	injector   *injector
	result     result
}

func newRun(e Experiment, p policy, s site, clock *timer.Service) *run {
	start := clock.Now()
	return &run{
		experiment: e, policy: p, site: s, clock: clock,
		asker:    s.asker(),
		recorder: newRecorder(e),
		prefix:   fmt.Sprintf("%s-%s-%s-", e.name, p.name, strconv.FormatInt(start.UnixMilli(), 36)),
		start:    start,
		tokens:   make(chan struct{}, maxOpen),
		injector: &injector{
			Site: s, Clock: clock, Cell: e.shape.Cell(), Faults: faultsOf(e, p), Start: start.Add(e.warmup),
		},
	}
}

// faultsOf returns the faults that concern a policy: without entry hosts only
// those of the targets.
func faultsOf(e Experiment, p policy) []fault {
	if !p.direct {
		return e.faults
	}
	return slices.DeleteFunc(slices.Clone(e.faults), func(f fault) bool {
		return f.do != actionChill && f.do != actionRestart
	})
}

// load sends the schedule and does the faults beside it.
func (r *run) load(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- r.injector.Run(ctx) }()
	var open sync.WaitGroup
	err := r.send(ctx, &open)
	open.Wait()
	cancel()
	return errors.CombineErrors(<-failed, err)
}

// send sends every query of the schedule at its time.
func (r *run) send(ctx context.Context, open *sync.WaitGroup) error {
	for n, a := range schedule(r.experiment, r.policy.factor) {
		if !r.await(ctx, r.start.Add(a.at)) {
			return ctx.Err()
		}
		select {
		case r.tokens <- struct{}{}:
		default:
			return errors.Newf("%d queries are open; the load process takes no more", maxOpen)
		}
		open.Go(func() {
			defer func() { <-r.tokens }()
			r.ask(ctx, n, a)
		})
	}
	return nil
}

// await waits until at; false means that ctx ended.
func (r *run) await(ctx context.Context, at time.Time) bool {
	if !r.clock.Now().Before(at) {
		return ctx.Err() == nil
	}
	wake := r.clock.At(at)
	defer wake.Stop()
	select {
	case <-wake.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends one query. Its latency and its deadline count from the scheduled
// time.
func (r *run) ask(ctx context.Context, n int, a arrival) {
	g := r.experiment.groups[a.group]
	due := r.start.Add(a.at)
	late := r.clock.Now().Sub(due)
	r.recorder.sent(a, late)
	ctx, cancel := context.WithTimeout(ctx, g.deadline+grace)
	defer cancel()
	q := question{
		id: magnoliashore.QueryID(r.prefix + strconv.Itoa(n)), group: g, arrival: a,
		deadline: max(g.deadline-late, time.Millisecond),
	}
	answer := r.asker.ask(ctx, q)
	r.recorder.add(a, q.id, outcome{answer: answer, took: r.clock.Now().Sub(due), allowed: g.deadline})
}

// inspect compares the answers with the targets' ledgers.
func (r *run) inspect(ctx context.Context) error {
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
	records = r.own(records)
	a := &auditor{
		records: records, told: r.recorder.told, faults: r.injector.happened(), zones: zones,
		begin: begin, end: begin.Add(r.experiment.length),
	}
	r.result = result{
		policy: r.policy.name, begin: begin, end: begin.Add(r.experiment.length), recorder: r.recorder, records: records,
		events: events, audit: a.audit(),
	}
	return nil
}

// own returns the records of the queries of this run.
func (r *run) own(records []record) []record {
	var list []record
	for _, record := range records {
		if _, ok := r.recorder.told[record.query]; ok {
			list = append(list, record)
		}
	}
	return list
}
