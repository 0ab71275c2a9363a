package merge

import "github.com/magnoliashore/magnoliashore"

// outcomes counts the final sub-answers by outcome.
type outcomes struct {
	ran     int
	unknown int
}

func (c *outcomes) count(o magnoliashore.Outcome) {
	switch o {
	case magnoliashore.OutcomeRan:
		c.ran++
	case magnoliashore.OutcomeNotRun:
	default:
		c.unknown++
	}
}

// Outcome returns whether the query ran, based on the sub-answers given to Add.
// A partition with usable replicas and without a sub-answer counts as unknown,
// since a sub-request may have been sent. A partition without usable replicas
// counts as not run. Reasons given to MarkMissing are ignored.
//
// A query that runs at most once is unknown if any sub-answer is unknown, ran if
// any ran, and otherwise did not run. Any other query ran if at least one
// partition is merged, did not run if every sub-answer is notrun, and is unknown
// otherwise.
func (m *Merger) Outcome() magnoliashore.Outcome {
	if !m.plan.AtMostOnce() && m.merged > 0 {
		return magnoliashore.OutcomeRan
	}
	if m.outcomes.unknown > 0 || m.hasUnanswered() {
		return magnoliashore.OutcomeUnknown
	}
	if m.outcomes.ran == 0 {
		return magnoliashore.OutcomeNotRun
	}
	if m.plan.AtMostOnce() {
		return magnoliashore.OutcomeRan
	}
	return magnoliashore.OutcomeUnknown
}

// hasUnanswered reports whether a partition with usable replicas has no
// sub-answer.
func (m *Merger) hasUnanswered() bool {
	for i, partition := range m.plan.Partitions() {
		if len(partition.Targets()) > 0 && !m.states[i].answered {
			return true
		}
	}
	return false
}
