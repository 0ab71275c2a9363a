package configservice

import "github.com/magnoliashore/magnoliashore"

func layoutFromWire(version magnoliashore.Version, wire wireLayout) magnoliashore.Layout {
	spec := magnoliashore.LayoutSpec{Version: version, Cell: wire.Cell}
	for _, s := range wire.Seats {
		seat := magnoliashore.NewSeat(magnoliashore.HostID(s.Host), magnoliashore.ZoneName(s.Zone), s.Peer, s.Caller)
		spec.Seats = append(spec.Seats, seat)
	}
	for _, name := range wire.Former {
		spec.Former = append(spec.Former, magnoliashore.HostID(name))
	}
	for _, t := range wire.Targets {
		spec.Targets = append(spec.Targets, magnoliashore.NewTarget(
			magnoliashore.TargetID(t.Target), magnoliashore.ServiceName(t.Service),
			magnoliashore.ZoneName(t.Zone), t.Address))
	}
	for _, s := range wire.Snapshots {
		spec.Snapshots = append(spec.Snapshots, snapshotFromWire(s))
	}
	return magnoliashore.NewLayout(spec)
}

func snapshotFromWire(wire wireSnapshot) magnoliashore.Snapshot {
	partitions := make([]magnoliashore.Partition, 0, len(wire.Partitions))
	for _, p := range wire.Partitions {
		targets := make([]magnoliashore.TargetID, 0, len(p.Targets))
		for _, name := range p.Targets {
			targets = append(targets, magnoliashore.TargetID(name))
		}
		partitions = append(partitions, magnoliashore.NewPartition(
			magnoliashore.PartitionID(p.Partition), magnoliashore.ServiceName(p.Service), targets))
	}
	return magnoliashore.NewSnapshot(
		magnoliashore.SnapshotID(wire.Snapshot), magnoliashore.GroupName(wire.Group), partitions)
}

func layoutToWire(layout magnoliashore.Layout) wireLayout {
	wire := wireLayout{
		Cell:      layout.Cell(),
		Seats:     make([]wireSeat, 0, len(layout.Seats())),
		Former:    make([]string, 0, len(layout.Former())),
		Targets:   make([]wireTarget, 0, len(layout.Targets())),
		Snapshots: make([]wireSnapshot, 0, len(layout.Snapshots())),
	}
	for _, s := range layout.Seats() {
		wire.Seats = append(wire.Seats, wireSeat{
			Host: string(s.Host()), Zone: string(s.Zone()), Peer: s.Peer(), Caller: s.Caller(),
		})
	}
	for _, host := range layout.Former() {
		wire.Former = append(wire.Former, string(host))
	}
	for _, t := range layout.Targets() {
		wire.Targets = append(wire.Targets, wireTarget{
			Target: string(t.ID()), Service: string(t.Service()), Zone: string(t.Zone()), Address: t.Address(),
		})
	}
	for _, s := range layout.Snapshots() {
		wire.Snapshots = append(wire.Snapshots, snapshotToWire(s))
	}
	return wire
}

func snapshotToWire(snapshot magnoliashore.Snapshot) wireSnapshot {
	wire := wireSnapshot{
		Snapshot:   uint64(snapshot.ID()),
		Group:      string(snapshot.Group()),
		Partitions: make([]wirePartition, 0, len(snapshot.Partitions())),
	}
	for _, p := range snapshot.Partitions() {
		targets := make([]string, 0, len(p.Targets()))
		for _, id := range p.Targets() {
			targets = append(targets, string(id))
		}
		wire.Partitions = append(wire.Partitions, wirePartition{
			Partition: string(p.ID()), Service: string(p.Service()), Targets: targets,
		})
	}
	return wire
}
