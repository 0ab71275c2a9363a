package magnoliashore

import "time"

// Miss names a partition that an answer does not cover, and why.
type Miss struct {
	partition PartitionID
	reason    Reason
}

// NewMiss returns a miss.
func NewMiss(partition PartitionID, reason Reason) Miss {
	return Miss{partition: partition, reason: reason}
}

// Partition returns the partition that is missing.
func (m Miss) Partition() PartitionID { return m.partition }

// Reason returns why it is missing.
func (m Miss) Reason() Reason { return m.reason }

// ZoneCoverage counts, for one availability zone, the partitions that have a
// replica there and how many of those the answer covers.
type ZoneCoverage struct {
	zone    ZoneName
	covered int
	total   int
}

// NewZoneCoverage returns the count of one zone.
func NewZoneCoverage(zone ZoneName, covered, total int) ZoneCoverage {
	return ZoneCoverage{zone: zone, covered: covered, total: total}
}

// Zone returns the availability zone.
func (z ZoneCoverage) Zone() ZoneName { return z.zone }

// Covered returns how many of the zone's partitions are in the answer.
func (z ZoneCoverage) Covered() int { return z.covered }

// Total returns how many partitions have a replica in the zone.
func (z ZoneCoverage) Total() int { return z.total }

// Coverage states how much of a snapshot an answer covers.
type Coverage struct {
	covered int
	total   int
	missing []Miss
	zones   []ZoneCoverage
}

// NewCoverage returns a statement of coverage. The package plan computes it
// from the set of merged partitions.
func NewCoverage(covered, total int, missing []Miss, zones []ZoneCoverage) Coverage {
	return Coverage{covered: covered, total: total, missing: missing, zones: zones}
}

// Covered returns the number of partitions in the answer.
func (c Coverage) Covered() int { return c.covered }

// Total returns the number of partitions that the query asked for.
func (c Coverage) Total() int { return c.total }

// Missing returns the partitions that are not in the answer, in plan order.
func (c Coverage) Missing() []Miss { return c.missing }

// Zones returns the count of each availability zone, by name.
func (c Coverage) Zones() []ZoneCoverage { return c.zones }

// Complete reports whether every partition is in the answer.
func (c Coverage) Complete() bool { return c.covered == c.total }

// Share returns the covered share, 0 to 1; an empty plan counts as 1.
func (c Coverage) Share() float64 {
	if c.total == 0 {
		return 1
	}
	return float64(c.covered) / float64(c.total)
}

// Part is what one partition contributed to an answer.
type Part struct {
	partition PartitionID
	target    TargetID
	body      []byte
}

// NewPart returns a part; body is as the target sent it.
func NewPart(partition PartitionID, target TargetID, body []byte) Part {
	return Part{partition: partition, target: target, body: body}
}

// Partition returns the partition.
func (p Part) Partition() PartitionID { return p.partition }

// Target returns the target that answered.
func (p Part) Target() TargetID { return p.target }

// Body returns what the target sent. The caller must not change it.
func (p Part) Body() []byte { return p.body }

// Item is one scored result of a best-N merge.
type Item struct {
	score     float64
	partition PartitionID
	body      []byte
}

// NewItem returns an item; body is one JSON value.
func NewItem(score float64, partition PartitionID, body []byte) Item {
	return Item{score: score, partition: partition, body: body}
}

// Score returns the score; a higher one is better.
func (i Item) Score() float64 { return i.score }

// Partition returns where the item came from.
func (i Item) Partition() PartitionID { return i.partition }

// Body returns the item's JSON value.
func (i Item) Body() []byte { return i.body }

// AnswerSpec holds the fields to build an Answer from.
type AnswerSpec struct {
	Query    QueryID
	Outcome  Outcome
	Reason   Reason
	Detail   string
	After    time.Duration
	Snapshot SnapshotID
	Coverage Coverage
	Parts    []Part
	Items    []Item
	Subs     int
	Host     HostID
}

// Answer is the final answer to one query.
type Answer struct{ spec AnswerSpec }

// NewAnswer returns the answer that spec describes.
func NewAnswer(spec AnswerSpec) Answer { return Answer{spec: spec} }

// Query returns the query that is answered.
func (a Answer) Query() QueryID { return a.spec.Query }

// Outcome returns whether the query ran.
func (a Answer) Outcome() Outcome { return a.spec.Outcome }

// Reason returns why the query did not run or is not complete.
func (a Answer) Reason() Reason { return a.spec.Reason }

// Detail returns a sentence for a person about the reason.
func (a Answer) Detail() string { return a.spec.Detail }

// After returns when to come back after a refusal; zero means no advice.
func (a Answer) After() time.Duration { return a.spec.After }

// Snapshot returns the one snapshot that every part came from.
func (a Answer) Snapshot() SnapshotID { return a.spec.Snapshot }

// Coverage returns how much of the snapshot the answer covers.
func (a Answer) Coverage() Coverage { return a.spec.Coverage }

// Parts returns the parts of a MergeAll answer, in plan order.
func (a Answer) Parts() []Part { return a.spec.Parts }

// Items returns the items of a MergeBest answer, the best first.
func (a Answer) Items() []Item { return a.spec.Items }

// Subs returns how many sub-requests were sent, hedges and retries included.
func (a Answer) Subs() int { return a.spec.Subs }

// Host returns the entry host that answered.
func (a Answer) Host() HostID { return a.spec.Host }
