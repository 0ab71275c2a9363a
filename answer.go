package magnoliashore

import "time"

// Miss is a partition missing from an answer, with the reason.
type Miss struct {
	partition PartitionID
	reason    Reason
}

// NewMiss returns the record of a missing partition.
func NewMiss(partition PartitionID, reason Reason) Miss {
	return Miss{partition: partition, reason: reason}
}

// Partition returns the missing partition.
func (m Miss) Partition() PartitionID { return m.partition }

// Reason returns why the partition is missing.
func (m Miss) Reason() Reason { return m.reason }

// ZoneCoverage counts the partitions with a replica in one availability zone,
// and how many of them are in the answer.
type ZoneCoverage struct {
	zone    ZoneName
	covered int
	total   int
}

// NewZoneCoverage returns the coverage of one zone.
func NewZoneCoverage(zone ZoneName, covered, total int) ZoneCoverage {
	return ZoneCoverage{zone: zone, covered: covered, total: total}
}

// Zone returns the availability zone.
func (z ZoneCoverage) Zone() ZoneName { return z.zone }

// Covered returns the number of the zone's partitions in the answer.
func (z ZoneCoverage) Covered() int { return z.covered }

// Total returns the number of partitions with a replica in the zone.
func (z ZoneCoverage) Total() int { return z.total }

// Coverage describes how much of a snapshot is in an answer.
type Coverage struct {
	covered int
	total   int
	missing []Miss
	zones   []ZoneCoverage
}

// NewCoverage returns the coverage with the given counts. The package plan
// computes them from the set of merged partitions.
func NewCoverage(covered, total int, missing []Miss, zones []ZoneCoverage) Coverage {
	return Coverage{covered: covered, total: total, missing: missing, zones: zones}
}

// Covered returns the number of partitions in the answer.
func (c Coverage) Covered() int { return c.covered }

// Total returns the number of partitions that the query addresses.
func (c Coverage) Total() int { return c.total }

// Missing returns the missing partitions in plan order.
func (c Coverage) Missing() []Miss { return c.missing }

// Zones returns the coverage of each availability zone, sorted by name.
func (c Coverage) Zones() []ZoneCoverage { return c.zones }

// Complete reports whether every partition is in the answer.
func (c Coverage) Complete() bool { return c.covered == c.total }

// Share returns the fraction of partitions in the answer, 0 to 1. It is 1 for
// an empty plan.
func (c Coverage) Share() float64 {
	if c.total == 0 {
		return 1
	}
	return float64(c.covered) / float64(c.total)
}

// Part is the partial result of one partition.
type Part struct {
	partition PartitionID
	target    TargetID
	body      []byte
}

// NewPart returns a partial result; body is the unchanged body from the target.
func NewPart(partition PartitionID, target TargetID, body []byte) Part {
	return Part{partition: partition, target: target, body: body}
}

// Partition returns the partition that was read.
func (p Part) Partition() PartitionID { return p.partition }

// Target returns the target that answered.
func (p Part) Target() TargetID { return p.target }

// Body returns the body from the target. The caller must not change it.
func (p Part) Body() []byte { return p.body }

// Item is one scored result of a top-K merge.
type Item struct {
	score     float64
	partition PartitionID
	body      []byte
}

// NewItem returns an item; body is one JSON value.
func NewItem(score float64, partition PartitionID, body []byte) Item {
	return Item{score: score, partition: partition, body: body}
}

// Score returns the score; items with higher scores come first.
func (i Item) Score() float64 { return i.score }

// Partition returns the partition that returned the item.
func (i Item) Partition() PartitionID { return i.partition }

// Body returns the item as a JSON value.
func (i Item) Body() []byte { return i.body }

// AnswerSpec holds the fields to build an Answer from.
type AnswerSpec struct {
	Query      QueryID
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	Snapshot   SnapshotID
	Coverage   Coverage
	Parts      []Part
	Items      []Item
	Subs       int
	Host       HostID
}

// Answer is the final answer to one query.
type Answer struct{ spec AnswerSpec }

// NewAnswer returns the answer that spec describes.
func NewAnswer(spec AnswerSpec) Answer { return Answer{spec: spec} }

// Query returns the ID of the answered query.
func (a Answer) Query() QueryID { return a.spec.Query }

// Outcome returns whether the query ran.
func (a Answer) Outcome() Outcome { return a.spec.Outcome }

// Reason returns why the query did not run or its answer is incomplete.
func (a Answer) Reason() Reason { return a.spec.Reason }

// Detail returns a human-readable explanation of the reason.
func (a Answer) Detail() string { return a.spec.Detail }

// RetryAfter returns how long to wait before a retry of a refused query; zero
// means unspecified.
func (a Answer) RetryAfter() time.Duration { return a.spec.RetryAfter }

// Snapshot returns the snapshot that all partial results come from.
func (a Answer) Snapshot() SnapshotID { return a.spec.Snapshot }

// Coverage returns how much of the snapshot is in the answer.
func (a Answer) Coverage() Coverage { return a.spec.Coverage }

// Parts returns the partial results of a MergeAll answer, in plan order.
func (a Answer) Parts() []Part { return a.spec.Parts }

// Items returns the items of a MergeBest answer, highest score first.
func (a Answer) Items() []Item { return a.spec.Items }

// Subs returns the number of attempts at sub-requests, including hedges and
// retries.
func (a Answer) Subs() int { return a.spec.Subs }

// Host returns the entry host that coordinated the query.
func (a Answer) Host() HostID { return a.spec.Host }
