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

// eventsBefore is how long before a traced query was due events are written.
const eventsBefore = 300 * time.Millisecond

// traced is one counted query with when it was due and what became of it.
type traced struct {
	id      magnoliashore.QueryID
	due     time.Duration // after the end of the warm-up
	outcome outcome
}

// WriteTrace writes the slowest counted queries of each policy and group, at
// most n each, every one with the requests that the targets recorded for it,
// and every overrun of a cold limit. Times are milliseconds since the query
// was due, or since the request that overran began.
func (r Report) WriteTrace(w io.Writer, n int) error {
	if n == 0 {
		return nil
	}
	for _, f := range r.results {
		if err := writeOverruns(w, f); err != nil {
			return errors.Wrap(err, "writing the trace")
		}
		byQuery := make(map[magnoliashore.QueryID][]record)
		for _, rec := range f.records {
			byQuery[rec.query] = append(byQuery[rec.query], rec)
		}
		for i, g := range r.experiment.groups {
			for _, t := range slowest(f.recorder.traces[i], n) {
				if err := writeTraced(w, f, string(g.name), t, byQuery[t.id]); err != nil {
					return errors.Wrap(err, "writing the trace")
				}
			}
		}
	}
	return nil
}

// slowest returns the n queries that took longest.
func slowest(list []traced, n int) []traced {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b traced) int { return cmp.Compare(b.outcome.took, a.outcome.took) })
	return list[:min(n, len(list))]
}

func writeTraced(w io.Writer, f result, group string, t traced, records []record) error {
	answer := t.outcome.answer
	_, err := fmt.Fprintf(w, "%s %s %s due %v took %s %v subs %d covered %d/%d %s\n",
		f.policy, group, t.id, t.due.Round(time.Millisecond), ms(t.outcome.took), answer.Outcome(), answer.Subs(),
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
	if err := writeEvents(w, f.events, records, due, due.Add(t.outcome.took)); err != nil {
		return err
	}
	return writeRecords(w, records, due)
}

// writeRecords writes records in order of their end, with times since due.
func writeRecords(w io.Writer, records []record, due time.Time) error {
	slices.SortFunc(records, func(a, b record) int { return a.end.Compare(b.end) })
	for _, rec := range records {
		_, err := fmt.Fprintf(w, "    %-12s %8s to %8s %-9s running %d cold %v told %v %s\n", rec.target,
			ms(rec.start.Sub(due)), ms(rec.end.Sub(due)), rec.result, rec.running, rec.cold, rec.told, rec.reason)
		if err != nil {
			return err
		}
	}
	return nil
}

// writeOverruns writes each request that made a cold target fall over, with
// what the target recorded and the hosts' events about it shortly before.
func writeOverruns(w io.Writer, f result) error {
	for _, over := range f.records {
		if over.result != standin.ResultOverrun {
			continue
		}
		_, err := fmt.Fprintf(w, "%s overrun of %s by %s at %v\n",
			f.policy, over.target, over.query, over.start.Sub(f.begin).Round(time.Millisecond))
		if err != nil {
			return err
		}
		near := slices.DeleteFunc(slices.Clone(f.records), func(r record) bool {
			return r.target != over.target || r.start.After(over.end) || r.end.Before(over.start.Add(-eventsBefore))
		})
		err = errors.Join(writeEvents(w, f.events, near, over.start, over.end), writeRecords(w, near, over.start))
		if err != nil {
			return err
		}
	}
	return nil
}

// writeEvents writes the events about the targets of the records, from shortly
// before the interval until its end.
func writeEvents(w io.Writer, events []magnoliashore.Event, records []record, from, to time.Time) error {
	for _, e := range events {
		asked := func(r record) bool { return r.target == string(e.Target()) }
		if e.At().Before(from.Add(-eventsBefore)) || e.At().After(to) || !slices.ContainsFunc(records, asked) {
			continue
		}
		_, err := fmt.Fprintf(w, "    %-12s %8s %s at host %s %s\n",
			e.Target(), ms(e.At().Sub(from)), event.Name(e.Code()), e.Host(), e.Detail())
		if err != nil {
			return err
		}
	}
	return nil
}
