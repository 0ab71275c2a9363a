package entry

import (
	"fmt"
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
}

func newMeters(h *Host) *meters {
	set := metrics.NewSet()
	set.NewGauge("magnoliashore_queries_in_flight", func() float64 { return float64(h.inFlight.Load()) })
	set.NewGauge("magnoliashore_subs_in_flight", func() float64 { return float64(h.workers.busy()) })
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
	}
}

// answered counts a final answer.
func (m *meters) answered(answer magnoliashore.Answer, took time.Duration) {
	name := fmt.Sprintf("magnoliashore_queries_total{outcome=%q}", answer.Outcome())
	m.set.GetOrCreateCounter(name).Inc()
	m.latency.Update(took.Seconds())
	m.covered.Add(answer.Coverage().Covered())
	m.missing.Add(len(answer.Coverage().Missing()))
}

// refused counts a sub-request that was refused at its owner.
func (m *meters) refused(reason magnoliashore.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("magnoliashore_refusals_total{reason=%q}", string(reason))).Inc()
}

// Metrics returns the host's metrics, after Prepare.
func (h *Host) Metrics() *metrics.Set { return h.meters.set }
