package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/standin"
)

// eventLookback is how far before the start of a traced query or overrun the
// trace includes events.
const eventLookback = 300 * time.Millisecond

// tracedQuery is a measured query with its scheduled time and its result.
type tracedQuery struct {
	id     magnoliashore.QueryID
	due    time.Duration // scheduled time since the end of the warm-up
	result queryResult
}

// WriteTrace writes the n slowest measured queries of each policy and group,
// with the requests that the targets recorded for them, and every overrun of a
// cold limit. Times are in milliseconds since the scheduled time of the query,
// or since the start of the request that overran.
func (r Report) WriteTrace(w io.Writer, n int) error {
	if n == 0 {
		return nil
	}
	for _, f := range r.results {
		if err := writeOverruns(w, f); err != nil {
			return errors.Wrap(err, "write the trace")
		}
		byQuery := make(map[magnoliashore.QueryID][]record)
		for _, rec := range f.records {
			byQuery[rec.query] = append(byQuery[rec.query], rec)
		}
		for i, g := range r.experiment.groups {
			for _, t := range slowest(f.recorder.traces[i], n) {
				if err := writeQuery(w, f, string(g.name), t, byQuery[t.id]); err != nil {
					return errors.Wrap(err, "write the trace")
				}
			}
		}
	}
	return nil
}

// slowest returns the n queries with the highest latency.
func slowest(list []tracedQuery, n int) []tracedQuery {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b tracedQuery) int { return cmp.Compare(b.result.latency, a.result.latency) })
	return list[:min(n, len(list))]
}

func writeQuery(w io.Writer, f policyResult, group string, t tracedQuery, records []record) error {
	answer := t.result.answer
	_, err := fmt.Fprintf(w, "%s %s %s due %v took %s %v subs %d covered %d/%d %s\n",
		f.policy, group, t.id, t.due.Round(time.Millisecond), formatMillis(t.result.latency), answer.Outcome(), answer.Subs(),
		answer.Coverage().Covered(), answer.Coverage().Total(), answer.Reason())
	if err != nil {
		return err
	}
	for _, miss := range answer.Coverage().Missing() {
		if _, err := fmt.Fprintf(w, "    missing %s: %s\n", miss.Partition(), miss.Reason()); err != nil {
			return err
		}
	}
	due := f.begin.Add(t.due)
	if err := writeEvents(w, f.events, records, due, due.Add(t.result.latency)); err != nil {
		return err
	}
	return writeRecords(w, records, due)
}

// writeRecords writes records in order of their end. Times are relative to due.
func writeRecords(w io.Writer, records []record, due time.Time) error {
	slices.SortFunc(records, func(a, b record) int { return a.end.Compare(b.end) })
	for _, rec := range records {
		_, err := fmt.Fprintf(w, "    %-12s %8s to %8s %-9s running %d cold %v told %v %s\n", rec.target,
			formatMillis(rec.start.Sub(due)), formatMillis(rec.end.Sub(due)), rec.result, rec.running, rec.cold, rec.coldReported, rec.reason)
		if err != nil {
			return err
		}
	}
	return nil
}

// writeOverruns writes each request that exceeded a target's cold limit and
// made it fail, with the requests and events of that target since shortly
// before.
func writeOverruns(w io.Writer, f policyResult) error {
	for _, overrun := range f.records {
		if overrun.result != standin.ResultOverrun {
			continue
		}
		_, err := fmt.Fprintf(w, "%s overrun of %s by %s at %v\n",
			f.policy, overrun.target, overrun.query, overrun.start.Sub(f.begin).Round(time.Millisecond))
		if err != nil {
			return err
		}
		related := slices.DeleteFunc(slices.Clone(f.records), func(r record) bool {
			return r.target != overrun.target || r.start.After(overrun.end) || r.end.Before(overrun.start.Add(-eventLookback))
		})
		err = errors.Join(writeEvents(w, f.events, related, overrun.start, overrun.end), writeRecords(w, related, overrun.start))
		if err != nil {
			return err
		}
	}
	return nil
}

// writeEvents writes the events about the targets of the records, from
// eventLookback before the interval until its end.
func writeEvents(w io.Writer, events []magnoliashore.Event, records []record, from, to time.Time) error {
	for _, e := range events {
		sameTarget := func(r record) bool { return r.target == string(e.Target()) }
		if e.At().Before(from.Add(-eventLookback)) || e.At().After(to) || !slices.ContainsFunc(records, sameTarget) {
			continue
		}
		_, err := fmt.Fprintf(w, "    %-12s %8s %s at host %s %s\n",
			e.Target(), formatMillis(e.At().Sub(from)), event.Name(e.Code()), e.Host(), e.Detail())
		if err != nil {
			return err
		}
	}
	return nil
}
