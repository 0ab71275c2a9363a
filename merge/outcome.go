package merge

import "github.com/magnoliashore/magnoliashore"

// tally counts the final sub-answers by outcome.
type tally struct {
	ran     int
	unknown int
}

func (t *tally) count(o magnoliashore.Outcome) {
	switch o {
	case magnoliashore.OutcomeRan:
		t.ran++
	case magnoliashore.OutcomeNotRun:
	default:
		t.unknown++
	}
}

// Outcome returns whether the query ran, from the sub-answers given to Add.
// A partition that has usable replicas and no sub-answer counts as unknown,
// since a sub-request may have been sent; one without usable replicas counts
// as not run. A reason given to Miss does not count.
//
// A non-idempotent query is unknown if any sub-answer is, ran if any ran, and
// otherwise did not run. An idempotent query ran if at least one partition is
// merged, did not run if every sub-answer says so, and otherwise is unknown.
func (m *Merger) Outcome() magnoliashore.Outcome {
	if !m.plan.AtMostOnce() && m.merged > 0 {
		return magnoliashore.OutcomeRan
	}
	if m.tally.unknown > 0 || m.open() {
		return magnoliashore.OutcomeUnknown
	}
	if m.tally.ran == 0 {
		return magnoliashore.OutcomeNotRun
	}
	if m.plan.AtMostOnce() {
		return magnoliashore.OutcomeRan
	}
	return magnoliashore.OutcomeUnknown
}

// open reports whether a partition with usable replicas has no sub-answer.
func (m *Merger) open() bool {
	for i, piece := range m.plan.Partitions() {
		if len(piece.Targets()) > 0 && !m.slots[i].answered {
			return true
		}
	}
	return false
}
