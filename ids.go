package magnoliashore

// ServiceName is the name of a service, which is a row of the operators' table.
type ServiceName string

// GroupName is the name of a group of services that a query can address
// together.
type GroupName string

// ZoneName is the name of an availability zone.
type ZoneName string

// TargetID identifies a target (back end).
type TargetID string

// HostID identifies a seat of a cell. Entry host processes that hold the seat
// one after another have different incarnations.
type HostID string

// PartitionID identifies a partition within a snapshot.
type PartitionID string

// QueryID identifies a query. It is unique across all entry hosts.
type QueryID string

// SnapshotID identifies a snapshot of a group. Later snapshots have higher
// numbers; zero means none.
type SnapshotID uint64

// Version is the version of a configuration key. It increases with each
// published value; zero means never published.
type Version uint64

// Incarnation identifies one of the processes that held a seat. Later processes
// have higher numbers; zero means unknown.
type Incarnation uint64

// Epoch is the number of a ticket epoch within one incarnation, starting at 1.
type Epoch uint64
