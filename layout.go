package magnoliashore

import (
	"maps"
	"slices"
)

// Seat is the published place of one entry host in a cell.
type Seat struct {
	host   HostID
	zone   ZoneName
	peer   string
	caller string
}

// NewSeat returns a seat; peer and caller are "ip:port" addresses towards the
// other entry hosts and towards callers.
func NewSeat(host HostID, zone ZoneName, peer, caller string) Seat {
	return Seat{host: host, zone: zone, peer: peer, caller: caller}
}

// Host returns the name of the seat.
func (s Seat) Host() HostID { return s.host }

// Zone returns the availability zone of the seat.
func (s Seat) Zone() ZoneName { return s.zone }

// Peer returns the "ip:port" address towards other entry hosts.
func (s Seat) Peer() string { return s.peer }

// Caller returns the "ip:port" address towards callers.
func (s Seat) Caller() string { return s.caller }

// Target is one back end as the layout publishes it.
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

// ID returns the target's name.
func (t Target) ID() TargetID { return t.id }

// Service returns the service whose row sets the target's limits.
func (t Target) Service() ServiceName { return t.service }

// Zone returns the target's availability zone.
func (t Target) Zone() ZoneName { return t.zone }

// Address returns the target's "ip:port" address.
func (t Target) Address() string { return t.address }

// Partition is one share of a service's data inside a snapshot.
type Partition struct {
	id      PartitionID
	service ServiceName
	targets []TargetID
}

// NewPartition returns a partition that each of targets can serve.
func NewPartition(id PartitionID, service ServiceName, targets []TargetID) Partition {
	return Partition{id: id, service: service, targets: slices.Clone(targets)}
}

// ID returns the partition's name.
func (p Partition) ID() PartitionID { return p.id }

// Service returns the service that the partition belongs to.
func (p Partition) Service() ServiceName { return p.service }

// Targets returns the replicas. The caller must not change the slice.
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

// ID returns the snapshot's number.
func (s Snapshot) ID() SnapshotID { return s.id }

// Group returns the group whose data this is.
func (s Snapshot) Group() GroupName { return s.group }

// Partitions returns the partitions. The caller must not change the slice.
func (s Snapshot) Partitions() []Partition { return s.partitions }

// LayoutSpec holds the parts to build a Layout from.
type LayoutSpec struct {
	Version   Version
	Cell      string
	Seats     []Seat
	Former    []HostID // seats of the roster being replaced; empty when no change is under way
	Targets   []Target
	Snapshots []Snapshot
}

// Layout is one published version of a cell: its seats, its targets and the
// snapshots of its groups.
type Layout struct {
	spec    LayoutSpec
	targets map[TargetID]Target
	seats   map[HostID]Seat
	newest  map[GroupName]Snapshot
}

// NewLayout returns the layout that spec describes. The layout codec checks
// it; NewLayout does not.
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

// Version returns the version under which the layout was published.
func (l Layout) Version() Version { return l.spec.Version }

// Cell returns the cell's name.
func (l Layout) Cell() string { return l.spec.Cell }

// Seats returns the seats in published order; the first one has a second vote
// when their number is even. The caller must not change the slice.
func (l Layout) Seats() []Seat { return l.spec.Seats }

// Former returns the seats of the roster that this one replaces.
func (l Layout) Former() []HostID { return l.spec.Former }

// Targets returns all targets in published order. The caller must not change
// the slice.
func (l Layout) Targets() []Target { return l.spec.Targets }

// Snapshots returns all published snapshots. The caller must not change the
// slice.
func (l Layout) Snapshots() []Snapshot { return l.spec.Snapshots }

// Target returns the target with the given name.
func (l Layout) Target(id TargetID) (Target, bool) {
	t, ok := l.targets[id]
	return t, ok
}

// Seat returns the seat with the given name.
func (l Layout) Seat(host HostID) (Seat, bool) {
	s, ok := l.seats[host]
	return s, ok
}

// Newest returns the newest snapshot of a group.
func (l Layout) Newest(group GroupName) (Snapshot, bool) {
	s, ok := l.newest[group]
	return s, ok
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList struct {
	live    []string
	leaving map[string]bool
}

// NewHostList returns a list; names are TargetIDs and HostIDs.
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

// View is what one entry host knows of the configuration at one moment.
type View struct {
	table  Table
	layout Layout
	hosts  HostList
}

// NewView joins the three published parts.
func NewView(table Table, layout Layout, hosts HostList) View {
	return View{table: table, layout: layout, hosts: hosts}
}

// Table returns the operators' table.
func (v View) Table() Table { return v.table }

// Layout returns the cell's layout.
func (v View) Layout() Layout { return v.layout }

// Hosts returns the list of live and leaving hosts.
func (v View) Hosts() HostList { return v.hosts }

// Usable reports whether new work may go to the target: it is published, not
// leaving, its service is on and allows its zone, and its zone is in. Where
// it is false, the reason says why.
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
