package load

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
	"github.com/magnoliashore/magnoliashore/timer"
)

// directSite runs targets in this process, without entry hosts. The targets
// start warm, because a directClient does not limit the load on cold targets.
type directSite struct {
	experiment Experiment
	clock      *timer.Service
	fleet      *standin.Fleet
	direct     *directClient
	cancel     context.CancelFunc
	fleetDone  chan error
}

func newDirectSite(e Experiment, clock *timer.Service) *directSite {
	s := &directSite{experiment: e, clock: clock, fleet: &standin.Fleet{}, fleetDone: make(chan error, 1)}
	for _, config := range e.shape.Targets() {
		e.targets.apply(&config, e.seed)
		config.WarmAfter = 0
		s.fleet.Targets = append(s.fleet.Targets, standin.NewTarget(config))
	}
	return s
}

func (s *directSite) start(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	go func() { s.fleetDone <- s.fleet.Run(runCtx) }()
	select {
	case <-s.fleet.Ready():
	case <-ctx.Done():
		return ctx.Err()
	case err := <-s.fleetDone:
		s.fleetDone <- err
		return err
	}
	layout, err := s.layout(ctx)
	if err != nil {
		return err
	}
	s.direct = newDirectClient(s.clock, layout, shapeServices(s.experiment.shape))
	return nil
}

func (s *directSite) stop() error {
	if s.direct != nil {
		s.direct.close()
	}
	s.cancel()
	return <-s.fleetDone
}

func (s *directSite) client() queryClient { return s.direct }

func (s *directSite) layout(context.Context) (magnoliashore.Layout, error) {
	addresses := make(map[string]string, len(s.fleet.Targets))
	for _, t := range s.fleet.Targets {
		addresses[t.Config().ID] = t.Addr()
	}
	return s.experiment.shape.Layout(func(id string) string { return addresses[id] }, nil), nil
}

func (s *directSite) operatorTable(context.Context) ([]byte, error) {
	return s.experiment.shape.Table(), nil
}

// publish does nothing: a directClient reads no configuration.
func (s *directSite) publish(context.Context, string, []byte) error { return nil }

// setPlatformMode does nothing: a directClient reads no configuration.
func (s *directSite) setPlatformMode(context.Context, standin.Mode) error { return nil }

// stopHost does nothing: there are no entry hosts.
func (s *directSite) stopHost(string) error { return nil }

func (s *directSite) changeTarget(_ context.Context, target string, change action, snapshots []uint64) error {
	t, ok := s.fleet.Target(target)
	if !ok {
		return errors.Newf("target %q does not exist", target)
	}
	applyTargetChange(t, change, snapshots)
	return nil
}

func (s *directSite) ledger(context.Context) ([]record, error) {
	return collectRecords(s.fleet.Targets)
}

// events returns nil: there are no entry hosts.
func (s *directSite) events(context.Context) ([]magnoliashore.Event, error) { return nil, nil }
