package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliashore/magnoliashore"
)

// Range of the latency histograms in microseconds, and their significant
// digits.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
	intervalDigits = 2
)

// intervalLength is the time between two points of a plot.
const intervalLength = 250 * time.Millisecond

// queryResult is the answer to one query, with its latency.
type queryResult struct {
	answer   magnoliashore.Answer
	latency  time.Duration // since the scheduled time
	deadline time.Duration // counted from the scheduled time
}

// good reports whether the query ran, was answered within the deadline and has
// the coverage that its service requires.
func (r queryResult) good() bool {
	return r.answer.Outcome() == magnoliashore.OutcomeRan &&
		r.answer.Reason() != magnoliashore.ReasonCoverage && r.latency <= r.deadline
}

// queryStats holds counters and latencies of a stream of queries.
type queryStats struct {
	queries, ran, refused, unknown int
	good, complete                 int
	coverageSum, lowestCoverage    float64                      // over the queries that ran
	subRequests, partitions        int                          // over the queries that ran
	reasons                        map[magnoliashore.Reason]int // why queries were refused
	missing                        map[magnoliashore.Reason]int // why partitions are missing from answers
	latency                        *hdrhistogram.Histogram
}

func newQueryStats(digits int) *queryStats {
	return &queryStats{
		lowestCoverage: 1,
		reasons:        make(map[magnoliashore.Reason]int),
		missing:        make(map[magnoliashore.Reason]int),
		latency:        hdrhistogram.New(lowestLatency, highestLatency, digits),
	}
}

// add counts one query. It does not record the latency of a refusal, which is
// returned immediately.
func (c *queryStats) add(result queryResult) {
	c.queries++
	if result.good() {
		c.good++
	}
	switch result.answer.Outcome() {
	case magnoliashore.OutcomeRan:
		c.addRan(result.answer)
	case magnoliashore.OutcomeNotRun:
		c.refused++
		c.reasons[result.answer.Reason()]++
		return
	default:
		c.unknown++
	}
	_ = c.latency.RecordValue(max(result.latency.Microseconds(), lowestLatency))
}

func (c *queryStats) addRan(answer magnoliashore.Answer) {
	c.ran++
	share := answer.Coverage().Share()
	c.coverageSum += share
	c.lowestCoverage = min(c.lowestCoverage, share)
	if answer.Coverage().Complete() {
		c.complete++
	}
	for _, miss := range answer.Coverage().Missing() {
		c.missing[miss.Reason()]++
	}
	c.subRequests += answer.Subs()
	c.partitions += answer.Coverage().Total()
}

// merge adds the values of another stream.
func (c *queryStats) merge(other *queryStats) {
	c.queries += other.queries
	c.ran += other.ran
	c.refused += other.refused
	c.unknown += other.unknown
	c.good += other.good
	c.complete += other.complete
	c.coverageSum += other.coverageSum
	c.lowestCoverage = min(c.lowestCoverage, other.lowestCoverage)
	c.subRequests += other.subRequests
	c.partitions += other.partitions
	for reason, n := range other.reasons {
		c.reasons[reason] += n
	}
	for reason, n := range other.missing {
		c.missing[reason] += n
	}
	c.latency.Merge(other.latency)
}

// recorder records the results of the queries of one policy.
type recorder struct {
	warmup time.Duration

	mu         sync.Mutex
	groups     []*queryStats
	intervals  [][]*queryStats                                 // by group and interval
	outcomes   map[magnoliashore.QueryID]magnoliashore.Outcome // also of queries in the warm-up
	traces     [][]tracedQuery                                 // by group
	sendDelays *hdrhistogram.Histogram                         // from the scheduled time to sending
}

func newRecorder(e Experiment) *recorder {
	r := &recorder{
		warmup:     e.warmup,
		outcomes:   make(map[magnoliashore.QueryID]magnoliashore.Outcome),
		traces:     make([][]tracedQuery, len(e.groups)),
		sendDelays: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
	count := int((e.length + intervalLength - 1) / intervalLength)
	for range e.groups {
		r.groups = append(r.groups, newQueryStats(latencyDigits))
		intervals := make([]*queryStats, count)
		for i := range intervals {
			intervals[i] = newQueryStats(intervalDigits)
		}
		r.intervals = append(r.intervals, intervals)
	}
	return r
}

// addSendDelay records the delay between the scheduled time of a query and
// sending it. Queries of the warm-up are left out.
func (r *recorder) addSendDelay(a arrival, delay time.Duration) {
	if a.at < r.warmup {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.sendDelays.RecordValue(max(delay.Microseconds(), lowestLatency))
}

// add records the result of a query. For a query of the warm-up it keeps only
// the outcome, which is compared with the ledgers.
func (r *recorder) add(a arrival, id magnoliashore.QueryID, result queryResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[id] = result.answer.Outcome()
	if a.at < r.warmup {
		return
	}
	r.groups[a.group].add(result)
	r.traces[a.group] = append(r.traces[a.group], tracedQuery{id: id, due: a.at - r.warmup, result: result})
	r.intervals[a.group][(a.at-r.warmup)/intervalLength].add(result)
}
