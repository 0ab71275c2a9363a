package try

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Range of the latency histograms in microseconds, and their significant
// digits.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// tally holds the answers to one user's queries and the targets' ledgers.
type tally struct {
	mu                sync.Mutex
	groups            map[magnoliashore.GroupName]*groupStats
	atMostOnceAnswers map[magnoliashore.QueryID]magnoliashore.Answer // answers to the non-idempotent queries
	lost              string                                         // target that was stopped
	ledger            []standin.Entry
	coldExcess        int // largest excess of a target over its cold limit
}

// groupStats counts the answers to the queries of one group.
type groupStats struct {
	ran, notrun, unknown    int
	complete                int
	coverageSum             float64
	subRequests, partitions int
	reasons                 map[magnoliashore.Reason]int
	latency                 *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		groups:            make(map[magnoliashore.GroupName]*groupStats),
		atMostOnceAnswers: make(map[magnoliashore.QueryID]magnoliashore.Answer),
	}
}

// add counts one answer. A client error without an answer counts as unknown.
func (t *tally) add(stream queryStream, answer magnoliashore.Answer, err error, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.groups[stream.group]
	if !ok {
		c = &groupStats{
			reasons: make(map[magnoliashore.Reason]int),
			latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		}
		t.groups[stream.group] = c
	}
	c.add(answer, err, latency)
	if stream.atMostOnce {
		t.atMostOnceAnswers[answer.Query()] = answer
	}
}

func (c *groupStats) add(answer magnoliashore.Answer, err error, latency time.Duration) {
	_ = c.latency.RecordValue(latency.Microseconds())
	c.subRequests += answer.Subs()
	c.partitions += answer.Coverage().Total()
	switch answer.Outcome() {
	case magnoliashore.OutcomeRan:
		c.ran++
		c.coverageSum += answer.Coverage().Share()
		if answer.Coverage().Complete() {
			c.complete++
		}
	case magnoliashore.OutcomeNotRun:
		c.notrun++
		c.reasons[answer.Reason()]++
	default:
		c.unknown++
		reason := answer.Reason()
		if err != nil && reason == magnoliashore.ReasonNone {
			reason = magnoliashore.ReasonUnreachable
		}
		c.reasons[reason]++
	}
}

// addColdExcess includes a target in coldExcess.
func (t *tally) addColdExcess(target *standin.Target) {
	t.coldExcess = max(t.coldExcess, target.PeakCold()-target.Config().ColdSlots)
}

// mismatches checks that no target exceeded its cold limit, and compares the
// answers to the non-idempotent queries with the targets' ledgers. It returns one
// line for each violation.
func (t *tally) mismatches() []string {
	var violations []string
	if t.coldExcess > 0 {
		violations = append(violations, fmt.Sprintf("a cold target ran %d requests more than its limit", t.coldExcess))
	}
	type run struct {
		query     magnoliashore.QueryID
		partition magnoliashore.PartitionID
	}
	runs := make(map[run]int)
	started := make(map[magnoliashore.QueryID]bool)
	for _, e := range t.ledger {
		if e.AtMostOnce() && e.Begun() {
			runs[run{e.Query(), e.Partition()}]++
			started[e.Query()] = true
		}
	}
	for r, n := range runs {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("query %s ran %d times on partition %s", r.query, n, r.partition))
		}
	}
	for id, answer := range t.atMostOnceAnswers {
		if answer.Outcome() == magnoliashore.OutcomeNotRun && started[id] {
			violations = append(violations, fmt.Sprintf("query %s was reported as notrun but ran", id))
		}
		if answer.Outcome() == magnoliashore.OutcomeRan && !started[id] {
			violations = append(violations, fmt.Sprintf("query %s was reported as ran but did not run", id))
		}
	}
	return violations
}
