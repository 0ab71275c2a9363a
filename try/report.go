package try

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// Report holds the measurements of a run.
type Report struct{ users []userReport }

type userReport struct {
	name   string
	lost   string // target that was stopped
	ledger int    // requests that started, by the targets' ledgers
	groups []groupReport
}

type groupReport struct {
	group                     magnoliashore.GroupName
	ran, notrun, unknown      int
	complete, coverage, extra float64
	p50, p99                  time.Duration
	reasons                   map[magnoliashore.Reason]int
}

func (t *tally) report(name string, streams []queryStream) userReport {
	result := userReport{name: name, lost: t.lost}
	for _, e := range t.ledger {
		if e.Begun() {
			result.ledger++
		}
	}
	for _, stream := range streams {
		if c, ok := t.groups[stream.group]; ok {
			result.groups = append(result.groups, c.report(stream.group))
		}
	}
	return result
}

func (c *groupStats) report(group magnoliashore.GroupName) groupReport {
	result := groupReport{
		group: group, ran: c.ran, notrun: c.notrun, unknown: c.unknown, reasons: c.reasons,
		p50: time.Duration(c.latency.ValueAtQuantile(50)) * time.Microsecond,
		p99: time.Duration(c.latency.ValueAtQuantile(99)) * time.Microsecond,
	}
	if c.ran > 0 {
		result.complete = float64(c.complete) / float64(c.ran)
		result.coverage = c.coverageSum / float64(c.ran)
	}
	if c.partitions > 0 {
		result.extra = float64(c.subRequests)/float64(c.partitions) - 1
	}
	return result
}

// Answers returns how many queries ran.
func (r Report) Answers() int {
	n := 0
	for _, u := range r.users {
		for _, g := range u.groups {
			n += g.ran
		}
	}
	return n
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "user\tgroup\tran\tnotrun\tunknown\tcomplete\tcoverage\textra\tp50\tp99\t")
	for _, u := range r.users {
		for _, g := range u.groups {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.2f%%\t%.2f%%\t%.2f%%\t%v\t%v\t\n",
				u.name, g.group, g.ran, g.notrun, g.unknown, 100*g.complete, 100*g.coverage, 100*g.extra, g.p50, g.p99)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the report")
	}
	for _, u := range r.users {
		_, _ = fmt.Fprintf(w, "%s: lost target %s half way; the targets' ledgers hold %d runs and agree with every answer\n",
			u.name, u.lost, u.ledger)
	}
	return nil
}

type wireReport struct {
	Users []wireUser `json:"users"`
}

type wireUser struct {
	User   string      `json:"user"`
	Lost   string      `json:"lost"`
	Ledger int         `json:"ledger"`
	Groups []wireGroup `json:"groups"`
}

type wireGroup struct {
	Group    string         `json:"group"`
	Ran      int            `json:"ran"`
	Notrun   int            `json:"notrun"`
	Unknown  int            `json:"unknown"`
	Complete float64        `json:"complete"`
	Coverage float64        `json:"coverage"`
	Extra    float64        `json:"extra"`
	P50      float64        `json:"p50"` // milliseconds
	P99      float64        `json:"p99"` // milliseconds
	Reasons  map[string]int `json:"reasons"`
}

// WriteJSON writes the report as JSON; times are in milliseconds.
func (r Report) WriteJSON(w io.Writer) error {
	var wire wireReport
	for _, u := range r.users {
		wu := wireUser{User: u.name, Lost: u.lost, Ledger: u.ledger}
		for _, g := range u.groups {
			wu.Groups = append(wu.Groups, g.wire())
		}
		wire.Users = append(wire.Users, wu)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(wire), "write the report")
}

func (g groupReport) wire() wireGroup {
	result := wireGroup{
		Group: string(g.group), Ran: g.ran, Notrun: g.notrun, Unknown: g.unknown,
		Complete: g.complete, Coverage: g.coverage, Extra: g.extra,
		P50: float64(g.p50) / float64(time.Millisecond), P99: float64(g.p99) / float64(time.Millisecond),
		Reasons: make(map[string]int, len(g.reasons)),
	}
	for reason, n := range g.reasons {
		result.Reasons[string(reason)] = n
	}
	return result
}
