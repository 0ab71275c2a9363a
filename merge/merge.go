// Package merge provides the merge of sub-answers into one answer, with its
// coverage and outcome. It is pure: it does no I/O, starts no goroutine and
// reads no clock. A Merger belongs to one goroutine.
package merge

import (
	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/plan"
)

// Merger joins the sub-answers of one plan.
type Merger struct {
	plan   plan.Plan
	view   magnoliashore.View
	how    magnoliashore.Merge
	index  map[magnoliashore.PartitionID]int
	slots  []slot
	merged int
	best   best
	tally  tally
}

// slot is what is known of one partition of the plan.
type slot struct {
	merged   bool
	answered bool
	reason   magnoliashore.Reason
	target   magnoliashore.TargetID
	body     []byte
}

// New returns a merger for the plan, which was made from view.
func New(p plan.Plan, view magnoliashore.View, how magnoliashore.Merge) *Merger {
	pieces := p.Partitions()
	m := &Merger{
		plan:  p,
		view:  view,
		how:   how,
		index: make(map[magnoliashore.PartitionID]int, len(pieces)),
		slots: make([]slot, len(pieces)),
		best:  best{limit: how.Best()},
	}
	for i, piece := range pieces {
		m.index[piece.PartitionID()] = i
		m.slots[i].reason = unanswered(piece)
	}
	return m
}

// unanswered returns why a piece is missing before any answer to it came.
func unanswered(piece plan.Partition) magnoliashore.Reason {
	if len(piece.Targets()) == 0 {
		return piece.Reason()
	}
	return magnoliashore.ReasonDeadline
}

// Add takes in a final sub-answer. It returns ReasonNone if the sub-answer was
// merged, and otherwise why it was not: ReasonInvalid for a partition outside
// the plan or malformed items, ReasonCancelled for a partition that is merged
// already, ReasonSnapshot for another snapshot, and the sub-answer's own
// reason if it did not run.
func (m *Merger) Add(a magnoliashore.SubAnswer) magnoliashore.Reason {
	m.tally.count(a.Outcome())
	i, ok := m.index[a.Partition()]
	if !ok {
		return magnoliashore.ReasonInvalid
	}
	s := &m.slots[i]
	s.answered = true
	if s.merged {
		return magnoliashore.ReasonCancelled
	}
	s.reason = m.take(s, a)
	return s.reason
}

// take merges the sub-answer into the slot, or returns why it cannot be.
func (m *Merger) take(s *slot, a magnoliashore.SubAnswer) magnoliashore.Reason {
	if a.Outcome() != magnoliashore.OutcomeRan {
		return stated(a)
	}
	if a.Snapshot() != m.plan.Snapshot() {
		return magnoliashore.ReasonSnapshot
	}
	if !m.keep(s, a) {
		return magnoliashore.ReasonInvalid
	}
	s.merged = true
	s.target = a.Target()
	m.merged++
	return magnoliashore.ReasonNone
}

// stated returns the reason of a sub-answer that did not run; one that states
// none counts as lost.
func stated(a magnoliashore.SubAnswer) magnoliashore.Reason {
	if a.Reason() == magnoliashore.ReasonNone {
		return magnoliashore.ReasonLost
	}
	return a.Reason()
}

// keep stores the body, or its items; false means that the items are
// malformed, and then none of them is kept.
func (m *Merger) keep(s *slot, a magnoliashore.SubAnswer) bool {
	if m.how.Best() == 0 {
		s.body = a.Body()
		return true
	}
	rows, ok := parse(a.Body())
	if !ok {
		return false
	}
	for i, r := range rows {
		m.best.offer(*r.Score, a.Partition(), i, r.Item)
	}
	return true
}

// MarkMissing records why a partition is still missing; the last reason counts. A
// merged partition, or one outside the plan, ignores it.
func (m *Merger) MarkMissing(p magnoliashore.PartitionID, r magnoliashore.Reason) {
	i, ok := m.index[p]
	if !ok || m.slots[i].merged {
		return
	}
	m.slots[i].reason = r
}

// Covered reports whether the partition is merged.
func (m *Merger) Covered(p magnoliashore.PartitionID) bool {
	i, ok := m.index[p]
	return ok && m.slots[i].merged
}

// Complete reports whether every partition of the plan is merged.
func (m *Merger) Complete() bool { return m.merged == len(m.slots) }

// Parts returns the merged parts in plan order. It is nil for a best-N merge.
func (m *Merger) Parts() []magnoliashore.Part {
	if m.how.Best() > 0 {
		return nil
	}
	parts := make([]magnoliashore.Part, 0, m.merged)
	for i, piece := range m.plan.Partitions() {
		s := m.slots[i]
		if s.merged {
			parts = append(parts, magnoliashore.NewPart(piece.PartitionID(), s.target, s.body))
		}
	}
	return parts
}

// Items returns the items of a best-N merge, at most N, the best first. Equal
// scores are ordered by partition name, then by position in the part.
func (m *Merger) Items() []magnoliashore.Item { return m.best.sorted() }
