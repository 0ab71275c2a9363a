package gateway

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliashore/magnoliashore/registry"
)

// Metrics holds the metrics of a host.
type Metrics struct {
	set        *metrics.Set
	answerTime *metrics.Histogram // seconds until a query has its answer
	whole      *metrics.Counter
	partial    *metrics.Counter
	refused    *metrics.Counter
	failed     *metrics.Counter
	expired    *metrics.Counter
	abandoned  *metrics.Counter
	// Answers of targets whose status says, without proof, that the request has not run.
	unprovenRefusals *metrics.Counter
	unrouted         *metrics.Counter
	attempts         *metrics.Counter
	extraAttempts    *metrics.Counter
	overBudget       *metrics.Counter
	newConnections   *metrics.Counter
	batches          *metrics.Counter
	logDropped       *metrics.Counter

	limitChanges   *metrics.Counter // limits that targets began, changed or ended
	overLimit      *metrics.Counter // attempts that were not sent to a target that is at its limit
	answersTooLong *metrics.Counter // answers of targets whose head or body exceeds its bound
	targetsEnded   *metrics.Counter // targets that ended while they ran requests of this host
	// Requests that were refused since they end targets, and those that were cleared.
	suspectsRefused *metrics.Counter
	suspectsCleared *metrics.Counter
	noticesDropped  *metrics.Counter // notices of other hosts that found a full queue

	callersEvicted  *metrics.Counter // idle connections of callers that were closed to make room
	callersRejected *metrics.Counter // new connections of callers that found no room
	exhausted       *metrics.Counter // attempts for which this host had no descriptor left

	cuts            *metrics.Counter // times that this host was cut off from the targets of a zone
	forwarded       *metrics.Counter // requests that other hosts ran for this one
	forwardedFailed *metrics.Counter // of these, without an answer
	helped          *metrics.Counter // requests that this host ran for others
	helpRefused     *metrics.Counter // those that it refused to

	observations        *metrics.Counter // received from other hosts
	observationsDropped *metrics.Counter
}

// NewMetrics returns metrics that are all zero.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	result := func(name string) *metrics.Counter {
		return s.NewCounter(`magnoliashore_gateway_requests_total{result="` + name + `"}`)
	}
	return &Metrics{
		set:            s,
		answerTime:     s.NewHistogram("magnoliashore_gateway_answer_seconds"),
		whole:          result("whole"),
		partial:        result("partial"),
		refused:        result("refused"),
		failed:         result("failed"),
		expired:        result("expired"),
		abandoned:      result("abandoned"),
		unrouted:       result("unrouted"),
		attempts:       s.NewCounter("magnoliashore_gateway_sends_total"),
		extraAttempts:  s.NewCounter("magnoliashore_gateway_extra_sends_total"),
		overBudget:     s.NewCounter("magnoliashore_gateway_over_budget_total"),
		newConnections: s.NewCounter("magnoliashore_gateway_connections_total"),
		batches:        s.NewCounter("magnoliashore_gateway_batches_total"),
		logDropped:     s.NewCounter("magnoliashore_gateway_log_lines_dropped_total"),

		limitChanges:     s.NewCounter("magnoliashore_gateway_limit_changes_total"),
		overLimit:        s.NewCounter("magnoliashore_gateway_over_limit_total"),
		answersTooLong:   s.NewCounter("magnoliashore_gateway_answers_too_long_total"),
		targetsEnded:     s.NewCounter("magnoliashore_gateway_targets_ended_total"),
		unprovenRefusals: s.NewCounter("magnoliashore_gateway_unproven_refusals_total"),
		suspectsRefused:  s.NewCounter("magnoliashore_gateway_suspects_refused_total"),
		suspectsCleared:  s.NewCounter("magnoliashore_gateway_suspects_cleared_total"),
		noticesDropped:   s.NewCounter("magnoliashore_gateway_notices_dropped_total"),

		callersEvicted:  s.NewCounter("magnoliashore_gateway_callers_evicted_total"),
		callersRejected: s.NewCounter("magnoliashore_gateway_callers_rejected_total"),
		exhausted:       s.NewCounter("magnoliashore_gateway_exhausted_total"),

		cuts:            s.NewCounter("magnoliashore_gateway_cuts_total"),
		forwarded:       s.NewCounter("magnoliashore_gateway_forwarded_total"),
		forwardedFailed: s.NewCounter("magnoliashore_gateway_forwarded_failed_total"),
		helped:          s.NewCounter("magnoliashore_gateway_helped_total"),
		helpRefused:     s.NewCounter("magnoliashore_gateway_help_refused_total"),

		observations:        s.NewCounter("magnoliashore_gateway_observations_total"),
		observationsDropped: s.NewCounter("magnoliashore_gateway_observations_dropped_total"),
	}
}

// observeCallers exports how many connections callers have.
func (m *Metrics) observeCallers(s *callerConns) {
	m.set.NewGauge("magnoliashore_gateway_callers", func() float64 { return float64(s.count()) })
}

// observeEntries exports the position up to which a reader has read, the version
// of the configuration in force, and how many outdated items it has skipped.
func (m *Metrics) observeEntries(r *registry.Reader) {
	gauge := func(name string, value func() uint64) {
		m.set.NewGauge("magnoliashore_gateway_entries_"+name, func() float64 { return float64(value()) })
	}
	gauge("era", func() uint64 { return r.Position().Era })
	gauge("revision", func() uint64 { return r.Position().Revision })
	gauge("skipped_total", r.Skipped)
	gauge("config_version", func() uint64 {
		if config := r.View().Config(); config != nil {
			return uint64(config.Version())
		}
		return 0
	})
}

// LogDropped counts a dropped log line.
func (m *Metrics) LogDropped() { m.logDropped.Inc() }

// Write writes the metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
