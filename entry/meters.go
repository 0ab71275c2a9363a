package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliashore/magnoliashore"
)

// meters holds the metrics of one entry host.
type meters struct {
	set      *metrics.Set
	subs     *metrics.Counter
	hedges   *metrics.Counter
	retries  *metrics.Counter
	faults   *metrics.Counter
	ringFull *metrics.Counter
	latency  *metrics.Histogram
	covered  *metrics.Counter
	missing  *metrics.Counter
	answers  *counterVec
	refusals *counterVec
}

// counterVec is a set of counters that differ in the value of one label.
type counterVec struct {
	set    *metrics.Set
	format string // format of the counter's name; its argument is the label value

	mu   sync.Mutex
	list map[string]*metrics.Counter
}

func (l *counterVec) inc(value string) { l.counter(value).Inc() }

func (l *counterVec) counter(value string) *metrics.Counter {
	l.mu.Lock()
	defer l.mu.Unlock()
	counter, ok := l.list[value]
	if !ok {
		counter = l.set.GetOrCreateCounter(fmt.Sprintf(l.format, value))
		l.list[value] = counter
	}
	return counter
}

func newCounterVec(set *metrics.Set, format string) *counterVec {
	return &counterVec{set: set, format: format, list: make(map[string]*metrics.Counter)}
}

func newMeters(h *Host) *meters {
	set := metrics.NewSet()
	set.NewGauge("magnoliashore_queries_in_flight", func() float64 { return float64(h.inFlight.Load()) })
	set.NewGauge("magnoliashore_subs_in_flight", func() float64 { return float64(h.workers.inFlight()) })
	set.NewGauge("magnoliashore_control_sent_bytes", func() float64 { return float64(h.traffic.Sent()) })
	set.NewGauge("magnoliashore_control_received_bytes", func() float64 { return float64(h.traffic.Received()) })
	return &meters{
		set:      set,
		subs:     set.NewCounter("magnoliashore_subs_total"),
		hedges:   set.NewCounter("magnoliashore_hedges_total"),
		retries:  set.NewCounter("magnoliashore_retries_total"),
		faults:   set.NewCounter("magnoliashore_faults_total"),
		ringFull: set.NewCounter("magnoliashore_ring_refusals_total"),
		latency:  set.NewHistogram("magnoliashore_query_seconds"),
		covered:  set.NewCounter("magnoliashore_partitions_covered_total"),
		missing:  set.NewCounter("magnoliashore_partitions_missing_total"),
		answers:  newCounterVec(set, "magnoliashore_queries_total{outcome=%q}"),
		refusals: newCounterVec(set, "magnoliashore_refusals_total{reason=%q}"),
	}
}

// answered counts a final answer and records its latency.
func (m *meters) answered(answer magnoliashore.Answer, took time.Duration) {
	m.answers.inc(answer.Outcome().String())
	m.latency.Update(took.Seconds())
	m.covered.Add(answer.Coverage().Covered())
	m.missing.Add(len(answer.Coverage().Missing()))
}

// refused counts a sub-request that its owner refused.
func (m *meters) refused(reason magnoliashore.Reason) {
	m.refusals.inc(string(reason))
}

// Metrics returns the host's metrics, after Prepare.
func (h *Host) Metrics() *metrics.Set { return h.meters.set }
