package load

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/standin"
	"github.com/magnoliashore/magnoliashore/timer"
)

// injector does the faults of one policy at their times. Set the exported
// fields before Run.
type injector struct {
	Site   site
	Clock  *timer.Service
	Cell   string
	Faults []fault   // in order of time
	Start  time.Time // of the counted time

	table  string
	layout magnoliashore.Layout
	newest magnoliashore.SnapshotID

	mu   sync.Mutex
	done []happened
}

// Run does the faults until the last one is done or ctx ends.
func (i *injector) Run(ctx context.Context) error {
	if err := i.prepare(ctx); err != nil {
		return err
	}
	for _, f := range i.Faults {
		wake := i.Clock.At(i.Start.Add(f.at))
		select {
		case <-wake.C:
		case <-ctx.Done():
			wake.Stop()
			return nil
		}
		wake.Stop()
		at := i.Clock.Now()
		if err := i.do(ctx, f); err != nil {
			return magnoliashore.Step(err, "do fault", f.label())
		}
		i.mu.Lock()
		i.done = append(i.done, happened{fault: f, at: at})
		i.mu.Unlock()
	}
	return nil
}

// happened returns the faults that were done.
func (i *injector) happened() []happened {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.done
}

func (i *injector) prepare(ctx context.Context) error {
	if len(i.Faults) == 0 {
		return nil
	}
	table, err := i.Site.table(ctx)
	if err != nil {
		return err
	}
	i.table = string(table)
	i.layout, err = i.Site.layout(ctx)
	if err != nil {
		return err
	}
	for _, s := range i.layout.Snapshots() {
		i.newest = max(i.newest, s.ID())
	}
	return nil
}

func (i *injector) do(ctx context.Context, f fault) error {
	switch f.do {
	case actionZoneOut:
		return i.zone(ctx, f.on, "in", "out")
	case actionZoneIn:
		return i.zone(ctx, f.on, "out", "in")
	case actionChill, actionRestart:
		return i.Site.act(ctx, f.on, f.do, nil)
	case actionLeave:
		return i.Site.leave(f.on)
	case actionSnapshot:
		i.newest++
		return i.snapshots(ctx, i.newest-1, i.newest)
	case actionRetire:
		return i.snapshots(ctx, i.newest)
	default:
		mode, err := standin.ParseMode(f.on)
		if err != nil {
			return err
		}
		return i.Site.mode(ctx, mode)
	}
}

// zone publishes the table with another state of a zone.
func (i *injector) zone(ctx context.Context, zone, from, to string) error {
	lines := strings.Split(i.table, "\n")
	found := false
	for n, line := range lines {
		if !strings.HasPrefix(line, "zone,"+zone+",") {
			continue
		}
		lines[n] = strings.TrimSuffix(line, ","+from)
		found = lines[n] != line
		lines[n] += "," + to
	}
	if !found {
		return errors.Newf("the table has no row of zone %s with the state %s", zone, from)
	}
	i.table = strings.Join(lines, "\n")
	return i.Site.publish(ctx, configservice.TableKey(i.Cell), []byte(i.table))
}

// snapshots makes every target serve the snapshots with the given numbers,
// and publishes them. Targets learn of a new one before it is published, and
// lose an old one after it has gone from the layout.
func (i *injector) snapshots(ctx context.Context, ids ...magnoliashore.SnapshotID) error {
	fresh := len(ids) > 1
	if fresh {
		if err := i.serve(ctx, ids); err != nil {
			return err
		}
	}
	layout, err := configservice.EncodeLayout(i.withSnapshots(ids))
	if err != nil {
		return err
	}
	if err := i.Site.publish(ctx, configservice.LayoutKey(i.Cell), layout); err != nil {
		return err
	}
	if fresh {
		return nil
	}
	return i.serve(ctx, ids)
}

func (i *injector) serve(ctx context.Context, ids []magnoliashore.SnapshotID) error {
	numbers := make([]uint64, 0, len(ids))
	for _, id := range ids {
		numbers = append(numbers, uint64(id))
	}
	for _, t := range i.layout.Targets() {
		if err := i.Site.act(ctx, string(t.ID()), actionSnapshot, numbers); err != nil {
			return err
		}
	}
	return nil
}

// withSnapshots returns the layout with the partitions of the start under the
// given numbers.
func (i *injector) withSnapshots(ids []magnoliashore.SnapshotID) magnoliashore.Layout {
	spec := magnoliashore.LayoutSpec{
		Cell: i.layout.Cell(), Seats: i.layout.Seats(), Former: i.layout.Former(), Targets: i.layout.Targets(),
	}
	for _, id := range ids {
		for _, s := range i.layout.Snapshots() {
			spec.Snapshots = append(spec.Snapshots, magnoliashore.NewSnapshot(id, s.Group(), s.Partitions()))
		}
	}
	return magnoliashore.NewLayout(spec)
}
