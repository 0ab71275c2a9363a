package load

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/local"
	"github.com/magnoliashore/magnoliashore/standin"
)

// embeddedSite runs a whole cell in this process.
type embeddedSite struct {
	experiment Experiment
	cell       *local.Cell
}

func newEmbeddedSite(e Experiment, p policy) *embeddedSite {
	return &embeddedSite{
		experiment: e,
		cell: &local.Cell{
			Shape: e.shape, Hosts: e.hosts, ConfigureHost: p.applySettings,
			ConfigureTarget: func(c *standin.TargetConfig) { e.targets.apply(c, e.seed) },
		},
	}
}

// apply sets the overrides in the configuration of one target. The seed of the
// experiment shifts the target's own seed.
func (t targetOverrides) apply(c *standin.TargetConfig, seed uint64) {
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

func (s *embeddedSite) start(ctx context.Context) error { return s.cell.Start(ctx) }

func (s *embeddedSite) stop() error { return s.cell.Stop() }

// client returns zoneClients, with one client for each availability zone.
func (s *embeddedSite) client() queryClient {
	zones := s.experiment.shape.Zones()
	list := make(zoneClients, 0, len(zones))
	for _, zone := range zones {
		c := s.cell.Client()
		c.Zone = magnoliashore.ZoneName(zone)
		list = append(list, c)
	}
	return list
}

func (s *embeddedSite) layout(context.Context) (magnoliashore.Layout, error) {
	return s.cell.Layout(), nil
}

func (s *embeddedSite) operatorTable(context.Context) ([]byte, error) {
	return s.experiment.shape.Table(), nil
}

func (s *embeddedSite) publish(_ context.Context, key string, data []byte) error {
	s.cell.Platform().Publish(key, data)
	return nil
}

func (s *embeddedSite) setPlatformMode(_ context.Context, mode standin.Mode) error {
	s.cell.Platform().SetMode(mode)
	return nil
}

func (s *embeddedSite) changeTarget(_ context.Context, target string, change action, snapshots []uint64) error {
	t, ok := s.cell.TargetNamed(magnoliashore.TargetID(target))
	if !ok {
		return errors.Newf("target %q does not exist", target)
	}
	applyTargetChange(t, change, snapshots)
	return nil
}

// applyTargetChange applies a change to a target in this process.
func applyTargetChange(t *standin.Target, change action, snapshots []uint64) {
	switch change {
	case actionChill:
		t.Chill()
	case actionRestart:
		t.Restart()
	default:
		t.SetSnapshots(snapshots...)
	}
}

func (s *embeddedSite) stopHost(host string) error {
	for _, h := range s.cell.EntryHosts() {
		if string(h.Settings.Host) == host {
			h.Stop()
			return nil
		}
	}
	return errors.Newf("entry host %q does not exist", host)
}

func (s *embeddedSite) ledger(context.Context) ([]record, error) {
	return collectRecords(s.cell.Targets())
}

func (s *embeddedSite) events(context.Context) ([]magnoliashore.Event, error) {
	var list []magnoliashore.Event
	for _, h := range s.cell.EntryHosts() {
		list = append(list, h.Events().Events()...)
	}
	return list, nil
}

// collectRecords returns the ledger entries of targets in this process. It
// fails if a ledger is incomplete.
func collectRecords(targets []*standin.Target) ([]record, error) {
	var list []record
	for _, t := range targets {
		if n := t.Dropped(); n > 0 {
			return nil, errors.Newf("the ledger of target %s dropped %d entries", t.Config().ID, n)
		}
		for _, e := range t.Ledger() {
			list = append(list, record{
				query: e.Query(), partition: e.Partition(), target: string(e.Target()),
				start: e.Start(), end: e.End(), started: e.Begun(), cold: e.Cold(), coldReported: e.ColdReported(),
				atMostOnce: e.AtMostOnce(), running: e.Running(), result: e.Result(), reason: e.Reason(),
			})
		}
	}
	return list, nil
}

// zoneClients holds one client for each availability zone.
type zoneClients []*client.Client

func (c zoneClients) query(ctx context.Context, q scheduledQuery) magnoliashore.Answer {
	answer, _ := c[q.arrival.zone%len(c)].Query(ctx, client.Request{
		ID: q.id, Group: q.group.name, Body: []byte("{}"), Deadline: q.deadline,
		AtMostOnce: q.group.atMostOnce, Merge: magnoliashore.MergeBest(q.group.topK),
	})
	return answer
}
