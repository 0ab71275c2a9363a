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

// clock wakes the streams of queries.
var clock timer.Service

// startStep starts both cells.
type startStep struct{ run *Run }

func (startStep) String() string { return "starting stand-ins and entry hosts of both users" }

func (s startStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	group, _ := errgroup.WithContext(ctx)
	for _, u := range s.run.users {
		group.Go(func() error {
			return magnoliashore.Step(u.cell.Start(context.WithoutCancel(ctx)), "starting the cell", u.name)
		})
	}
	return group.Wait()
}

// warmStep asks queries at a low rate, whose answers are not counted, since
// every target starts cold.
type warmStep struct{ run *Run }

func (warmStep) String() string { return "warming the targets with a low load" }

func (s warmStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmTime)
	defer cancel()
	var streams sync.WaitGroup
	for _, u := range s.run.users {
		asker := u.cell.Client()
		for _, l := range u.groups {
			l.period *= warmSlower
			streams.Go(func() { u.ask(ctx, asker, l, newTally()) })
		}
	}
	streams.Wait()
	return nil
}

// burstStep asks queries at a steady rate and loses one target half way.
type burstStep struct{ run *Run }

func (burstStep) String() string { return "asking queries, and losing one target half way" }

func (s burstStep) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams sync.WaitGroup
	for _, u := range s.run.users {
		asker := u.cell.Client()
		for _, l := range u.groups {
			streams.Go(func() { u.ask(ctx, asker, l, u.tally) })
		}
	}
	half := clock.After(s.run.Burst / 2)
	defer half.Stop()
	rest := clock.After(s.run.Burst)
	defer rest.Stop()
	for range 2 {
		select {
		case <-half.C:
			s.lose()
		case <-rest.C:
			cancel()
		case <-ctx.Done():
		}
	}
	streams.Wait()
	return nil
}

// lose stops the first target of each user.
func (s burstStep) lose() {
	for _, u := range s.run.users {
		lost := u.cell.Targets()[0]
		lost.Stop()
		u.tally.lost = lost.Config().ID
	}
}

// ask sends queries on schedule, whatever their answers do, until ctx ends.
func (u *user) ask(ctx context.Context, asker *client.Client, l load, tally *tally) {
	tick := clock.Every(l.period)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			open.Go(func() { u.askOne(context.WithoutCancel(ctx), asker, l, tally) })
		}
	}
}

func (u *user) askOne(ctx context.Context, asker *client.Client, l load, tally *tally) {
	started := clock.Now()
	answer, err := asker.Query(ctx, client.Request{
		Group: l.group, Body: []byte("{}"), Deadline: l.deadline, AtMostOnce: l.once,
		Merge: magnoliashore.MergeBest(l.best),
	})
	tally.add(l, answer, err, clock.Now().Sub(started))
}

// stopStep stops everything and keeps the ledgers.
type stopStep struct{ run *Run }

func (stopStep) String() string { return "stopping everything" }

func (s stopStep) Run(context.Context) error {
	group := errgroup.Group{}
	for _, u := range s.run.users {
		group.Go(func() error {
			err := u.cell.Stop()
			for _, t := range u.cell.Targets() {
				u.tally.ledger = append(u.tally.ledger, t.Ledger()...)
				u.tally.peaks(t)
			}
			u.cell = nil
			return magnoliashore.Step(err, "stopping the cell", u.name)
		})
	}
	return group.Wait()
}

// compareStep compares what callers were told with what targets ran.
type compareStep struct{ run *Run }

func (compareStep) String() string { return "comparing the answers with the targets' ledgers" }

func (s compareStep) Run(context.Context) error {
	var faults []string
	for _, u := range s.run.users {
		s.run.report.users = append(s.run.report.users, u.tally.report(u.name, u.groups))
		for _, fault := range u.tally.faults() {
			faults = append(faults, u.name+": "+fault)
		}
	}
	if len(faults) > 0 {
		return errors.Newf("the ledgers disagree: %s", strings.Join(faults, "; "))
	}
	return nil
}
