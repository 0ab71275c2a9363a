package try

import (
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/timer"
)

// clock schedules the queries and measures latencies.
var clock timer.Service

// startStep starts the cells of both users.
type startStep struct{ run *Run }

func (startStep) String() string { return "starting the stand-ins and entry hosts of both users" }

func (s startStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	group, _ := errgroup.WithContext(ctx)
	for _, u := range s.run.users {
		group.Go(func() error {
			return magnoliashore.Step(u.cell.Start(context.WithoutCancel(ctx)), "start the cell", u.name)
		})
	}
	return group.Wait()
}

// warmStep sends queries at a low rate, because every target starts cold. It
// does not count the answers.
type warmStep struct{ run *Run }

func (warmStep) String() string { return "warming up the targets with a low load" }

func (s warmStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmTime)
	defer cancel()
	var streams sync.WaitGroup
	for _, u := range s.run.users {
		caller := u.cell.Client()
		for _, stream := range u.groups {
			stream.period *= warmPeriodFactor
			streams.Go(func() { u.sendQueries(ctx, caller, stream, newTally()) })
		}
	}
	streams.Wait()
	return nil
}

// burstStep sends queries at a steady rate and stops one target of each user
// halfway.
type burstStep struct{ run *Run }

func (burstStep) String() string { return "sending queries; one target of each user stops halfway" }

func (s burstStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams sync.WaitGroup
	for _, u := range s.run.users {
		caller := u.cell.Client()
		for _, stream := range u.groups {
			streams.Go(func() { u.sendQueries(ctx, caller, stream, u.tally) })
		}
	}
	half := clock.After(s.run.Burst / 2)
	defer half.Stop()
	end := clock.After(s.run.Burst)
	defer end.Stop()
	for range 2 {
		select {
		case <-half.C:
			s.stopOneTarget()
		case <-end.C:
			cancel()
		case <-ctx.Done():
		}
	}
	streams.Wait()
	return nil
}

// stopOneTarget stops the first target of each user.
func (s burstStep) stopOneTarget() {
	for _, u := range s.run.users {
		target := u.cell.Targets()[0]
		target.Stop()
		u.tally.lost = target.Config().ID
	}
}

// sendQueries sends a query every period until ctx ends, without waiting for
// answers, and then waits for the queries in flight.
func (u *user) sendQueries(ctx context.Context, caller *client.Client, stream queryStream, tally *tally) {
	tick := clock.Every(stream.period)
	defer tick.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			inFlight.Go(func() { u.sendQuery(context.WithoutCancel(ctx), caller, stream, tally) })
		}
	}
}

func (u *user) sendQuery(ctx context.Context, caller *client.Client, stream queryStream, tally *tally) {
	started := clock.Now()
	answer, err := caller.Query(ctx, client.Request{
		Group: stream.group, Body: []byte("{}"), Deadline: stream.deadline, AtMostOnce: stream.atMostOnce,
		Merge: magnoliashore.MergeBest(stream.topK),
	})
	tally.add(stream, answer, err, clock.Now().Sub(started))
}

// stopStep stops both cells and keeps the targets' ledgers.
type stopStep struct{ run *Run }

func (stopStep) String() string { return "stopping the cells" }

func (s stopStep) Run(context.Context) error {
	group := errgroup.Group{}
	for _, u := range s.run.users {
		group.Go(func() error {
			err := u.cell.Stop()
			for _, t := range u.cell.Targets() {
				u.tally.ledger = append(u.tally.ledger, t.Ledger()...)
				u.tally.addColdExcess(t)
			}
			u.cell = nil
			return magnoliashore.Step(err, "stop the cell", u.name)
		})
	}
	return group.Wait()
}

// compareStep compares the answers with the targets' ledgers and fails if they
// do not match.
type compareStep struct{ run *Run }

func (compareStep) String() string { return "comparing the answers with the targets' ledgers" }

func (s compareStep) Run(context.Context) error {
	var mismatches []string
	for _, u := range s.run.users {
		s.run.report.users = append(s.run.report.users, u.tally.report(u.name, u.groups))
		for _, mismatch := range u.tally.mismatches() {
			mismatches = append(mismatches, u.name+": "+mismatch)
		}
	}
	if len(mismatches) > 0 {
		return errors.Newf("the answers do not match the targets' ledgers: %s", strings.Join(mismatches, "; "))
	}
	return nil
}
