package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliashore/magnoliashore"
)

// Ranges of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
	slotDigits     = 2
)

// slotLength is the step of the curves over time.
const slotLength = 250 * time.Millisecond

// outcome is what became of one query.
type outcome struct {
	answer  magnoliashore.Answer
	took    time.Duration // since the scheduled time
	allowed time.Duration // deadline, counted from the scheduled time
}

// good reports whether the answer came in time and covers what its service
// needs.
func (o outcome) good() bool {
	return o.answer.Outcome() == magnoliashore.OutcomeRan &&
		o.answer.Reason() != magnoliashore.ReasonCoverage && o.took <= o.allowed
}

// count is what is counted of a stream of queries.
type count struct {
	queries, ran, refused, unknown int
	good, complete                 int
	share, lowest                  float64                      // coverage: sum, and the lowest
	subs, partitions               int                          // of the answers that ran
	reasons                        map[magnoliashore.Reason]int // of refusals
	missing                        map[magnoliashore.Reason]int // of partitions that answers do not cover
	latency                        *hdrhistogram.Histogram
}

func newCount(digits int) *count {
	return &count{
		lowest:  1,
		reasons: make(map[magnoliashore.Reason]int),
		missing: make(map[magnoliashore.Reason]int),
		latency: hdrhistogram.New(lowestLatency, highestLatency, digits),
	}
}

// add counts one query. The latency of refusals is left out, since they come
// at once.
func (c *count) add(o outcome) {
	c.queries++
	if o.good() {
		c.good++
	}
	switch o.answer.Outcome() {
	case magnoliashore.OutcomeRan:
		c.addRan(o.answer)
	case magnoliashore.OutcomeNotRun:
		c.refused++
		c.reasons[o.answer.Reason()]++
		return
	default:
		c.unknown++
	}
	_ = c.latency.RecordValue(max(o.took.Microseconds(), lowestLatency))
}

func (c *count) addRan(answer magnoliashore.Answer) {
	c.ran++
	share := answer.Coverage().Share()
	c.share += share
	c.lowest = min(c.lowest, share)
	if answer.Coverage().Complete() {
		c.complete++
	}
	for _, miss := range answer.Coverage().Missing() {
		c.missing[miss.Reason()]++
	}
	c.subs += answer.Subs()
	c.partitions += answer.Coverage().Total()
}

// merge adds another stream.
func (c *count) merge(other *count) {
	c.queries += other.queries
	c.ran += other.ran
	c.refused += other.refused
	c.unknown += other.unknown
	c.good += other.good
	c.complete += other.complete
	c.share += other.share
	c.lowest = min(c.lowest, other.lowest)
	c.subs += other.subs
	c.partitions += other.partitions
	for reason, n := range other.reasons {
		c.reasons[reason] += n
	}
	for reason, n := range other.missing {
		c.missing[reason] += n
	}
	c.latency.Merge(other.latency)
}

// recorder counts the queries of one policy.
type recorder struct {
	warmup time.Duration

	mu     sync.Mutex
	groups []*count
	slots  [][]*count // by group and step of time
	told   map[magnoliashore.QueryID]magnoliashore.Outcome
	traces [][]traced              // by group
	late   *hdrhistogram.Histogram // how late queries were sent
}

func newRecorder(e Experiment) *recorder {
	r := &recorder{
		warmup: e.warmup,
		told:   make(map[magnoliashore.QueryID]magnoliashore.Outcome),
		traces: make([][]traced, len(e.groups)),
		late:   hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
	steps := int((e.length + slotLength - 1) / slotLength)
	for range e.groups {
		r.groups = append(r.groups, newCount(latencyDigits))
		slots := make([]*count, steps)
		for i := range slots {
			slots[i] = newCount(slotDigits)
		}
		r.slots = append(r.slots, slots)
	}
	return r
}

// sent records how late a query was sent.
func (r *recorder) sent(a arrival, late time.Duration) {
	if a.at < r.warmup {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.late.RecordValue(max(late.Microseconds(), lowestLatency))
}

// add records the end of a query. Those of the warm-up are kept only for the
// comparison with the ledgers.
func (r *recorder) add(a arrival, id magnoliashore.QueryID, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[id] = o.answer.Outcome()
	if a.at < r.warmup {
		return
	}
	r.groups[a.group].add(o)
	r.traces[a.group] = append(r.traces[a.group], traced{id: id, due: a.at - r.warmup, outcome: o})
	r.slots[a.group][(a.at-r.warmup)/slotLength].add(o)
}
