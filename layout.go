package magnoliashore

import (
	"maps"
	"slices"
)

// Seat is a configured position for one entry host in a cell.
type Seat struct {
	host   HostID
	zone   ZoneName
	peer   string
	caller string
}

// NewSeat returns a seat; peer and caller are the "ip:port" addresses for other
// entry hosts and for callers.
func NewSeat(host HostID, zone ZoneName, peer, caller string) Seat {
	return Seat{host: host, zone: zone, peer: peer, caller: caller}
}

// Host returns the ID of the seat.
func (s Seat) Host() HostID { return s.host }

// Zone returns the availability zone of the seat.
func (s Seat) Zone() ZoneName { return s.zone }

// Peer returns the "ip:port" address for other entry hosts.
func (s Seat) Peer() string { return s.peer }

// Caller returns the "ip:port" address for callers.
func (s Seat) Caller() string { return s.caller }

// Target is a back end listed in the layout.
type Target struct {
	id      TargetID
	service ServiceName
	zone    ZoneName
	address string
}

// NewTarget returns a target; address is "ip:port".
func NewTarget(id TargetID, service ServiceName, zone ZoneName, address string) Target {
	return Target{id: id, service: service, zone: zone, address: address}
}

// ID returns the target's ID.
func (t Target) ID() TargetID { return t.id }

// Service returns the service of the target, which sets its limits.
func (t Target) Service() ServiceName { return t.service }

// Zone returns the target's availability zone.
func (t Target) Zone() ZoneName { return t.zone }

// Address returns the target's "ip:port" address.
func (t Target) Address() string { return t.address }

// Partition is a shard of a service's data within a snapshot.
type Partition struct {
	id      PartitionID
	service ServiceName
	targets []TargetID
}

// NewPartition returns a partition with a replica on each of targets.
func NewPartition(id PartitionID, service ServiceName, targets []TargetID) Partition {
	return Partition{id: id, service: service, targets: slices.Clone(targets)}
}

// ID returns the partition's ID.
func (p Partition) ID() PartitionID { return p.id }

// Service returns the service that the partition belongs to.
func (p Partition) Service() ServiceName { return p.service }

// Targets returns the targets with a replica. The caller must not change the
// slice.
func (p Partition) Targets() []TargetID { return p.targets }

// Snapshot is one consistent version of a group's data.
type Snapshot struct {
	id         SnapshotID
	group      GroupName
	partitions []Partition
}

// NewSnapshot returns a snapshot of a group.
func NewSnapshot(id SnapshotID, group GroupName, partitions []Partition) Snapshot {
	return Snapshot{id: id, group: group, partitions: slices.Clone(partitions)}
}

// ID returns the snapshot's ID.
func (s Snapshot) ID() SnapshotID { return s.id }

// Group returns the group that the snapshot belongs to.
func (s Snapshot) Group() GroupName { return s.group }

// Partitions returns the partitions. The caller must not change the slice.
func (s Snapshot) Partitions() []Partition { return s.partitions }

// LayoutSpec holds the fields to build a Layout from.
type LayoutSpec struct {
	Version   Version
	Cell      string
	Seats     []Seat
	Former    []HostID // seats of the roster that is being replaced, if any
	Targets   []Target
	Snapshots []Snapshot
}

// Layout is a published version of a cell's configuration: its seats, its
// targets and the snapshots of its groups.
type Layout struct {
	spec    LayoutSpec
	targets map[TargetID]Target
	seats   map[HostID]Seat
	newest  map[GroupName]Snapshot
}

// NewLayout returns the layout that spec describes. It does not validate spec;
// the layout codec does.
func NewLayout(spec LayoutSpec) Layout {
	l := Layout{
		spec:    spec,
		targets: make(map[TargetID]Target, len(spec.Targets)),
		seats:   make(map[HostID]Seat, len(spec.Seats)),
		newest:  make(map[GroupName]Snapshot),
	}
	for _, t := range spec.Targets {
		l.targets[t.ID()] = t
	}
	for _, s := range spec.Seats {
		l.seats[s.Host()] = s
	}
	for _, s := range spec.Snapshots {
		if old, ok := l.newest[s.Group()]; !ok || s.ID() > old.ID() {
			l.newest[s.Group()] = s
		}
	}
	return l
}

// Version returns the published version.
func (l Layout) Version() Version { return l.spec.Version }

// Cell returns the cell's name.
func (l Layout) Cell() string { return l.spec.Cell }

// Seats returns the seats in published order. The first has a second vote if
// the number of seats is even. The caller must not change the slice.
func (l Layout) Seats() []Seat { return l.spec.Seats }

// Former returns the seats of the roster that is being replaced, if any.
func (l Layout) Former() []HostID { return l.spec.Former }

// Targets returns all targets in published order. The caller must not change
// the slice.
func (l Layout) Targets() []Target { return l.spec.Targets }

// Snapshots returns all published snapshots. The caller must not change the
// slice.
func (l Layout) Snapshots() []Snapshot { return l.spec.Snapshots }

// Target returns the target with the given ID.
func (l Layout) Target(id TargetID) (Target, bool) {
	t, ok := l.targets[id]
	return t, ok
}

// Seat returns the seat with the given ID.
func (l Layout) Seat(host HostID) (Seat, bool) {
	s, ok := l.seats[host]
	return s, ok
}

// Newest returns the latest snapshot of a group.
func (l Layout) Newest(group GroupName) (Snapshot, bool) {
	s, ok := l.newest[group]
	return s, ok
}

// HostList is the platform's list of live and leaving hosts, which may be out
// of date.
type HostList struct {
	live    []string
	leaving map[string]bool
}

// NewHostList returns a list of names, each a TargetID or a HostID.
func NewHostList(live, leaving []string) HostList {
	h := HostList{live: slices.Clone(live), leaving: make(map[string]bool, len(leaving))}
	for _, name := range leaving {
		h.leaving[name] = true
	}
	return h
}

// Live returns the names of the live hosts.
func (h HostList) Live() []string { return h.live }

// LeavingNames returns the names of the leaving hosts, sorted.
func (h HostList) LeavingNames() []string {
	return slices.Sorted(maps.Keys(h.leaving))
}

// Leaving reports whether the named host is leaving.
func (h HostList) Leaving(name string) bool { return h.leaving[name] }

// View is the configuration that one entry host has at one time.
type View struct {
	table  Table
	layout Layout
	hosts  HostList
}

// NewView returns a view with the given parts.
func NewView(table Table, layout Layout, hosts HostList) View {
	return View{table: table, layout: layout, hosts: hosts}
}

// Table returns the operators' table.
func (v View) Table() Table { return v.table }

// Layout returns the cell's layout.
func (v View) Layout() Layout { return v.layout }

// Hosts returns the list of live and leaving hosts.
func (v View) Hosts() HostList { return v.hosts }

// Usable reports whether new work may be sent to the target: it is in the
// layout and not leaving, its service is on and may use its zone, and operators
// have not taken the zone out. Otherwise the reason says why.
func (v View) Usable(id TargetID) (Reason, bool) {
	t, ok := v.layout.Target(id)
	if !ok {
		return ReasonLeaving, false
	}
	s, ok := v.table.Service(t.Service())
	if !ok || s.Off() {
		return ReasonOff, false
	}
	if v.table.ZoneOut(t.Zone()) || !s.Allows(t.Zone()) {
		return ReasonZone, false
	}
	if v.hosts.Leaving(string(id)) {
		return ReasonLeaving, false
	}
	return ReasonNone, true
}
