package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore/catalog"
)

// logQuery logs a request that was run, and what it waited for when it ended.
func (h *Handler) logQuery(r *http.Request, route *catalog.Route, run *queryRun, stage stage, outcome string, took time.Duration) {
	h.Engine.Metrics.extraAttempts.Add(run.extraAttempts)
	h.Engine.Metrics.batches.Add(len(run.batches))
	h.Log.WithFields(log.Fields{
		"request": h.Dialect.Caller(r.Header).ID, "route": route.Name(),
		"version": uint64(h.Engine.View().Config().Version()),
		"shards":  len(run.query.services), "missing": run.progress.Missing(), "batches": len(run.batches),
		"extra": run.extraAttempts, "refused": run.refused, "targets": run.targets(), "why": run.failureSummary(), "stage": stage.String(),
		"age": h.DataAge().Round(time.Millisecond).String(), "took": took.Round(100 * time.Microsecond).String(),
		"outcome": outcome,
	}).Info("request done")
}

// failureSummary describes how the latest attempt failed at each shard without a
// partial result.
func (r *queryRun) failureSummary() string {
	var failures []string
	for i, service := range r.query.services {
		if r.progress.HasResult(i) {
			continue
		}
		if len(failures) == maxLoggedFailures {
			return strings.Join(append(failures, "and others"), "; ")
		}
		if failure, ok := r.failures[i]; ok {
			failures = append(failures, failure)
		} else {
			failures = append(failures, string(service)+" has not answered")
		}
	}
	return strings.Join(failures, "; ")
}

// maxLoggedFailures is the most failures in one log line.
const maxLoggedFailures = 3

// targets lists the targets of the attempts. For a scatter-gather query, it lists
// only those of the shards without a partial result.
func (r *queryRun) targets() string {
	var names []string
	for i, tried := range r.tried {
		if r.query.scatter && r.progress.HasResult(i) {
			continue
		}
		for _, id := range tried {
			names = append(names, string(id))
		}
	}
	return strings.Join(names, ",")
}

func (h *Handler) logWith(r *http.Request, name string, value any) log.Interface {
	return h.Log.WithField("request", h.Dialect.Caller(r.Header).ID).WithField(name, value)
}
