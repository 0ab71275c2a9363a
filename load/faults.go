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

// injector injects the faults into the run of one policy. Set the exported
// fields before Run.
type injector struct {
	Site   site
	Clock  *timer.Service
	Cell   string
	Faults []fault   // in order of time
	Start  time.Time // of the measured interval

	table  string
	layout magnoliashore.Layout
	newest magnoliashore.SnapshotID

	mu       sync.Mutex
	injected []injectedFault
}

// Run injects each fault at its time. It returns after the last one, or when
// ctx ends.
func (i *injector) Run(ctx context.Context) error {
	if err := i.readInitialState(ctx); err != nil {
		return err
	}
	for _, f := range i.Faults {
		wakeup := i.Clock.At(i.Start.Add(f.at))
		select {
		case <-wakeup.C:
		case <-ctx.Done():
			wakeup.Stop()
			return nil
		}
		wakeup.Stop()
		at := i.Clock.Now()
		if err := i.inject(ctx, f); err != nil {
			return magnoliashore.Step(err, "inject fault", f.label())
		}
		i.mu.Lock()
		i.injected = append(i.injected, injectedFault{fault: f, at: at})
		i.mu.Unlock()
	}
	return nil
}

// injectedFaults returns the faults injected so far.
func (i *injector) injectedFaults() []injectedFault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.injected
}

func (i *injector) readInitialState(ctx context.Context) error {
	if len(i.Faults) == 0 {
		return nil
	}
	table, err := i.Site.operatorTable(ctx)
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

func (i *injector) inject(ctx context.Context, f fault) error {
	switch f.action {
	case actionZoneOut:
		return i.setZoneState(ctx, f.argument, "in", "out")
	case actionZoneIn:
		return i.setZoneState(ctx, f.argument, "out", "in")
	case actionChill, actionRestart:
		return i.Site.changeTarget(ctx, f.argument, f.action, nil)
	case actionLeave:
		return i.Site.stopHost(f.argument)
	case actionSnapshot:
		i.newest++
		return i.changeSnapshots(ctx, i.newest-1, i.newest)
	case actionRetire:
		return i.changeSnapshots(ctx, i.newest)
	default:
		mode, err := standin.ParseMode(f.argument)
		if err != nil {
			return err
		}
		return i.Site.setPlatformMode(ctx, mode)
	}
}

// setZoneState publishes the operators' table with the state of a zone changed.
func (i *injector) setZoneState(ctx context.Context, zone, from, to string) error {
	lines := strings.Split(i.table, "\n")
	changed := false
	for n, line := range lines {
		if !strings.HasPrefix(line, "zone,"+zone+",") {
			continue
		}
		lines[n] = strings.TrimSuffix(line, ","+from)
		changed = lines[n] != line
		lines[n] += "," + to
	}
	if !changed {
		return errors.Newf("the table has no row for zone %s in state %s", zone, from)
	}
	i.table = strings.Join(lines, "\n")
	return i.Site.publish(ctx, configservice.TableKey(i.Cell), []byte(i.table))
}

// changeSnapshots makes every target serve the given snapshots and publishes a
// layout with them. Targets load a new snapshot before the layout contains it,
// and drop an old one only after the layout no longer does.
func (i *injector) changeSnapshots(ctx context.Context, ids ...magnoliashore.SnapshotID) error {
	adding := len(ids) > 1
	if adding {
		if err := i.setTargetSnapshots(ctx, ids); err != nil {
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
	if adding {
		return nil
	}
	return i.setTargetSnapshots(ctx, ids)
}

func (i *injector) setTargetSnapshots(ctx context.Context, ids []magnoliashore.SnapshotID) error {
	numbers := make([]uint64, 0, len(ids))
	for _, id := range ids {
		numbers = append(numbers, uint64(id))
	}
	for _, t := range i.layout.Targets() {
		if err := i.Site.changeTarget(ctx, string(t.ID()), actionSnapshot, numbers); err != nil {
			return err
		}
	}
	return nil
}

// withSnapshots returns the initial layout with the given snapshots, each with
// the initial partitions.
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
