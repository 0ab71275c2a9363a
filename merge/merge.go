// Package merge merges the sub-answers of a query into one answer and computes
// its coverage and outcome. The package is pure: it does no I/O, starts no
// goroutines and reads no clock.
package merge

import (
	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/plan"
)

// Merger merges the sub-answers of one plan. It is not safe for concurrent use.
type Merger struct {
	plan     plan.Plan
	view     magnoliashore.View
	mode     magnoliashore.Merge
	index    map[magnoliashore.PartitionID]int // index in states
	states   []partitionState                  // in plan order
	merged   int                               // number of merged partitions
	topK     topK
	outcomes outcomes
}

// partitionState is the state of one partition of the plan.
type partitionState struct {
	merged   bool
	answered bool                   // a sub-answer has arrived
	reason   magnoliashore.Reason   // why the partition is missing
	target   magnoliashore.TargetID // target that answered
	body     []byte
}

// New returns a merger for the plan p, which was made from view.
func New(p plan.Plan, view magnoliashore.View, mode magnoliashore.Merge) *Merger {
	partitions := p.Partitions()
	m := &Merger{
		plan:   p,
		view:   view,
		mode:   mode,
		index:  make(map[magnoliashore.PartitionID]int, len(partitions)),
		states: make([]partitionState, len(partitions)),
		topK:   topK{limit: mode.Best()},
	}
	for i, partition := range partitions {
		m.index[partition.PartitionID()] = i
		m.states[i].reason = initialReason(partition)
	}
	return m
}

// initialReason returns why a partition is missing before any sub-answer arrives.
func initialReason(partition plan.Partition) magnoliashore.Reason {
	if len(partition.Targets()) == 0 {
		return partition.Reason()
	}
	return magnoliashore.ReasonDeadline
}

// Add merges a final sub-answer. It returns ReasonNone if the sub-answer was
// merged, and otherwise the reason why not: ReasonInvalid for a partition outside
// the plan or for malformed items, ReasonCancelled for a partition that is
// already merged, ReasonSnapshot for another snapshot, and the sub-answer's own
// reason if the sub-request did not run.
func (m *Merger) Add(a magnoliashore.SubAnswer) magnoliashore.Reason {
	m.outcomes.count(a.Outcome())
	i, ok := m.index[a.Partition()]
	if !ok {
		return magnoliashore.ReasonInvalid
	}
	s := &m.states[i]
	s.answered = true
	if s.merged {
		return magnoliashore.ReasonCancelled
	}
	s.reason = m.merge(s, a)
	return s.reason
}

// merge merges the sub-answer into the partition's state, or returns the reason
// why it cannot.
func (m *Merger) merge(s *partitionState, a magnoliashore.SubAnswer) magnoliashore.Reason {
	if a.Outcome() != magnoliashore.OutcomeRan {
		return reasonOf(a)
	}
	if a.Snapshot() != m.plan.Snapshot() {
		return magnoliashore.ReasonSnapshot
	}
	if !m.store(s, a) {
		return magnoliashore.ReasonInvalid
	}
	s.merged = true
	s.target = a.Target()
	m.merged++
	return magnoliashore.ReasonNone
}

// reasonOf returns the reason of a sub-answer whose sub-request did not run, or
// ReasonLost if it has none.
func reasonOf(a magnoliashore.SubAnswer) magnoliashore.Reason {
	if a.Reason() == magnoliashore.ReasonNone {
		return magnoliashore.ReasonLost
	}
	return a.Reason()
}

// store stores the body, or its items in a top-K merge. It returns false, and
// stores nothing, if the items are malformed.
func (m *Merger) store(s *partitionState, a magnoliashore.SubAnswer) bool {
	if m.mode.Best() == 0 {
		s.body = a.Body()
		return true
	}
	elements, ok := parse(a.Body())
	if !ok {
		return false
	}
	for i, e := range elements {
		m.topK.offer(*e.Score, a.Partition(), i, e.Item)
	}
	return true
}

// MarkMissing records why a partition is missing, in place of an earlier reason.
// It does nothing for a partition that is merged or outside the plan.
func (m *Merger) MarkMissing(p magnoliashore.PartitionID, r magnoliashore.Reason) {
	i, ok := m.index[p]
	if !ok || m.states[i].merged {
		return
	}
	m.states[i].reason = r
}

// Covered reports whether the partition is merged.
func (m *Merger) Covered(p magnoliashore.PartitionID) bool {
	i, ok := m.index[p]
	return ok && m.states[i].merged
}

// Complete reports whether every partition of the plan is merged.
func (m *Merger) Complete() bool { return m.merged == len(m.states) }

// Parts returns the merged partial results in plan order, or nil for a top-K
// merge.
func (m *Merger) Parts() []magnoliashore.Part {
	if m.mode.Best() > 0 {
		return nil
	}
	parts := make([]magnoliashore.Part, 0, m.merged)
	for i, partition := range m.plan.Partitions() {
		s := m.states[i]
		if s.merged {
			parts = append(parts, magnoliashore.NewPart(partition.PartitionID(), s.target, s.body))
		}
	}
	return parts
}

// Items returns the items of a top-K merge, at most K, the highest score first.
// Equal scores are ordered by partition name, then by position in the partial
// result.
func (m *Merger) Items() []magnoliashore.Item { return m.topK.sorted() }
