package magnoliashore

// ServiceName names one service: one row of the operators' table.
type ServiceName string

// GroupName names a group of services that a query may address as a whole.
type GroupName string

// ZoneName names an availability zone.
type ZoneName string

// TargetID names one target (back end).
type TargetID string

// HostID names one seat of a cell. The entry host that holds the seat may be
// replaced; its Incarnation tells the processes apart.
type HostID string

// PartitionID names one partition inside a snapshot.
type PartitionID string

// QueryID names one query, unique over all entry hosts.
type QueryID string

// SnapshotID numbers the snapshots of a group. A later snapshot has a higher
// number; zero means none.
type SnapshotID uint64

// Version numbers the published values of one configuration key. It only
// rises; zero means never published.
type Version uint64

// Incarnation tells the processes that held one seat apart. A later process
// has a higher number; zero means unknown.
type Incarnation uint64

// Epoch numbers the ticket epochs of one incarnation, from one upwards.
type Epoch uint64
