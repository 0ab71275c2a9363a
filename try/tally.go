package try

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Range of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// tally counts what callers were told.
type tally struct {
	mu     sync.Mutex
	groups map[magnoliashore.GroupName]*count
	once   map[magnoliashore.QueryID]magnoliashore.Answer
	lost   string
	ledger []standin.Entry
	over   int // requests above a target's cold limit, at the worst target
}

// count is the tally of one group.
type count struct {
	ran, notrun, unknown int
	complete             int
	share                float64
	subs, partitions     int
	reasons              map[magnoliashore.Reason]int
	latency              *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		groups: make(map[magnoliashore.GroupName]*count),
		once:   make(map[magnoliashore.QueryID]magnoliashore.Answer),
	}
}

// add counts one answer. A client error without an answer counts as unknown.
func (t *tally) add(l load, answer magnoliashore.Answer, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.groups[l.group]
	if !ok {
		c = &count{
			reasons: make(map[magnoliashore.Reason]int),
			latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		}
		t.groups[l.group] = c
	}
	c.add(answer, err, took)
	if l.once {
		t.once[answer.Query()] = answer
	}
}

func (c *count) add(answer magnoliashore.Answer, err error, took time.Duration) {
	_ = c.latency.RecordValue(took.Microseconds())
	c.subs += answer.Subs()
	c.partitions += answer.Coverage().Total()
	switch answer.Outcome() {
	case magnoliashore.OutcomeRan:
		c.ran++
		c.share += answer.Coverage().Share()
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

// peaks takes the worst excess over the cold limit from a target.
func (t *tally) peaks(target *standin.Target) {
	t.over = max(t.over, target.PeakCold()-target.Config().ColdSlots)
}

// faults compares the answers to non-idempotent queries, and the cold limits,
// with the targets' ledgers.
func (t *tally) faults() []string {
	var faults []string
	if t.over > 0 {
		faults = append(faults, fmt.Sprintf("a cold target got %d more than it bears", t.over))
	}
	type run struct {
		query     magnoliashore.QueryID
		partition magnoliashore.PartitionID
	}
	runs := make(map[run]int)
	begun := make(map[magnoliashore.QueryID]bool)
	for _, e := range t.ledger {
		if e.AtMostOnce() && e.Begun() {
			runs[run{e.Query(), e.Partition()}]++
			begun[e.Query()] = true
		}
	}
	for r, n := range runs {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("query %s ran %d times on partition %s", r.query, n, r.partition))
		}
	}
	for id, answer := range t.once {
		if answer.Outcome() == magnoliashore.OutcomeNotRun && begun[id] {
			faults = append(faults, fmt.Sprintf("query %s was called notrun and ran", id))
		}
		if answer.Outcome() == magnoliashore.OutcomeRan && !begun[id] {
			faults = append(faults, fmt.Sprintf("query %s was called ran and did not run", id))
		}
	}
	return faults
}
