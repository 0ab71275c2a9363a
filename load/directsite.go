package load

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
	"github.com/magnoliashore/magnoliashore/timer"
)

// directSite is a set of targets in this process without entry hosts. The
// targets start warm, since nothing would spare them while they are cold.
type directSite struct {
	experiment Experiment
	clock      *timer.Service
	fleet      *standin.Fleet
	direct     *direct
	end        context.CancelFunc
	ended      chan error
}

func newDirectSite(e Experiment, clock *timer.Service) *directSite {
	s := &directSite{experiment: e, clock: clock, fleet: &standin.Fleet{}, ended: make(chan error, 1)}
	for _, config := range e.shape.Targets() {
		e.targets.apply(&config, e.seed)
		config.WarmAfter = 0
		s.fleet.Targets = append(s.fleet.Targets, standin.NewTarget(config))
	}
	return s
}

func (s *directSite) start(ctx context.Context) error {
	run, end := context.WithCancel(context.WithoutCancel(ctx))
	s.end = end
	go func() { s.ended <- s.fleet.Run(run) }()
	select {
	case <-s.fleet.Ready():
	case <-ctx.Done():
		return ctx.Err()
	case err := <-s.ended:
		s.ended <- err
		return err
	}
	layout, err := s.layout(ctx)
	if err != nil {
		return err
	}
	s.direct = newDirect(s.clock, layout, rows(s.experiment.shape))
	return nil
}

func (s *directSite) stop() error {
	if s.direct != nil {
		s.direct.close()
	}
	s.end()
	return <-s.ended
}

func (s *directSite) asker() asker { return s.direct }

func (s *directSite) layout(context.Context) (magnoliashore.Layout, error) {
	addresses := make(map[string]string, len(s.fleet.Targets))
	for _, t := range s.fleet.Targets {
		addresses[t.Config().ID] = t.Addr()
	}
	return s.experiment.shape.Layout(func(id string) string { return addresses[id] }, nil), nil
}

func (s *directSite) table(context.Context) ([]byte, error) { return s.experiment.shape.Table(), nil }

// publish does nothing: a direct caller reads no configuration.
func (s *directSite) publish(context.Context, string, []byte) error { return nil }

// mode does nothing: a direct caller reads no configuration.
func (s *directSite) mode(context.Context, standin.Mode) error { return nil }

// leave does nothing: there is no entry host.
func (s *directSite) leave(string) error { return nil }

// act changes a target.
func (s *directSite) act(_ context.Context, target string, do action, snapshots []uint64) error {
	t, ok := s.fleet.Target(target)
	if !ok {
		return errors.Newf("target %q does not exist", target)
	}
	actOn(t, do, snapshots)
	return nil
}

func (s *directSite) ledger(context.Context) ([]record, error) { return ledgers(s.fleet.Targets) }

// events returns none: there is no entry host.
func (s *directSite) events(context.Context) ([]magnoliashore.Event, error) { return nil, nil }
