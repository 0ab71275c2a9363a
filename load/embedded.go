package load

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/local"
	"github.com/magnoliashore/magnoliashore/standin"
)

// embedded is a cell in this process.
type embedded struct {
	experiment Experiment
	cell       *local.Cell
}

func newEmbedded(e Experiment, p policy) *embedded {
	return &embedded{
		experiment: e,
		cell: &local.Cell{
			Shape: e.shape, Hosts: e.hosts, Settings: p.overlay,
			Target: func(c *standin.TargetConfig) { e.targets.apply(c, e.seed) },
		},
	}
}

// apply changes the configuration of one target.
func (t tune) apply(c *standin.TargetConfig, seed uint64) {
	c.Seed += seed << 16
	if t.latency != nil {
		c.Latency = *t.latency
	}
	if t.straggle != nil {
		c.StragglerProbability = *t.straggle
	}
	if t.straggler != nil {
		c.StragglerLatency = *t.straggler
	}
}

func (s *embedded) start(ctx context.Context) error { return s.cell.Start(ctx) }

func (s *embedded) stop() error { return s.cell.Stop() }

// asker returns one client for each availability zone.
func (s *embedded) asker() asker {
	zones := s.experiment.shape.Zones()
	list := make(callers, 0, len(zones))
	for _, zone := range zones {
		c := s.cell.Client()
		c.Zone = magnoliashore.ZoneName(zone)
		list = append(list, c)
	}
	return list
}

func (s *embedded) layout(context.Context) (magnoliashore.Layout, error) {
	return s.cell.Layout(), nil
}

func (s *embedded) table(context.Context) ([]byte, error) {
	return s.experiment.shape.Table(), nil
}

func (s *embedded) publish(_ context.Context, key string, data []byte) error {
	s.cell.Platform().Publish(key, data)
	return nil
}

func (s *embedded) mode(_ context.Context, mode standin.Mode) error {
	s.cell.Platform().SetMode(mode)
	return nil
}

func (s *embedded) act(_ context.Context, target string, do action, snapshots []uint64) error {
	t, ok := s.cell.TargetNamed(magnoliashore.TargetID(target))
	if !ok {
		return errors.Newf("target %q does not exist", target)
	}
	actOn(t, do, snapshots)
	return nil
}

// actOn changes a target of this process.
func actOn(t *standin.Target, do action, snapshots []uint64) {
	switch do {
	case actionChill:
		t.Chill()
	case actionRestart:
		t.Restart()
	default:
		t.SetSnapshots(snapshots...)
	}
}

func (s *embedded) leave(host string) error {
	for _, h := range s.cell.EntryHosts() {
		if string(h.Settings.Host) == host {
			h.Stop()
			return nil
		}
	}
	return errors.Newf("entry host %q does not exist", host)
}

func (s *embedded) ledger(context.Context) ([]record, error) {
	return ledgers(s.cell.Targets())
}

func (s *embedded) events(context.Context) ([]magnoliashore.Event, error) {
	var list []magnoliashore.Event
	for _, h := range s.cell.EntryHosts() {
		list = append(list, h.Events().Events()...)
	}
	return list, nil
}

// ledgers returns what targets of this process recorded.
func ledgers(targets []*standin.Target) ([]record, error) {
	var list []record
	for _, t := range targets {
		if n := t.Dropped(); n > 0 {
			return nil, errors.Newf("the ledger of target %s dropped %d entries", t.Config().ID, n)
		}
		for _, e := range t.Ledger() {
			list = append(list, record{
				query: e.Query(), partition: e.Partition(), target: string(e.Target()),
				start: e.Start(), end: e.End(), begun: e.Begun(), cold: e.Cold(), told: e.ColdReported(),
				once: e.AtMostOnce(), running: e.Running(), result: e.Result(), reason: e.Reason(),
			})
		}
	}
	return list, nil
}

// callers are clients, one for each availability zone.
type callers []*client.Client

func (c callers) ask(ctx context.Context, q question) magnoliashore.Answer {
	answer, _ := c[q.arrival.zone%len(c)].Query(ctx, client.Request{
		ID: q.id, Group: q.group.name, Body: []byte("{}"), Deadline: q.deadline,
		AtMostOnce: q.group.once, Merge: magnoliashore.MergeBest(q.group.best),
	})
	return answer
}
