// Package try runs a short self-test in this process. It starts a cell for each
// of two users on loopback, with stand-ins for the platform and the targets,
// sends a burst of queries, stops one target of each user halfway, and compares
// the answers with the targets' ledgers.
package try

import (
	"context"
	"io"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/local"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Sizes and times of the run.
const (
	hostsPerCell     = 3
	shapeScale       = 0.5
	startTimeout     = 10 * time.Second
	warmTime         = 1500 * time.Millisecond
	warmPeriodFactor = 4 // the warm-up multiplies the period between queries by this
)

// Step is one step of the run.
type Step interface {
	// String describes the step in lower case, for progress and errors.
	String() string
	Run(ctx context.Context) error
}

// Run is one run of the self-test. Set the exported fields before Run.
type Run struct {
	Progress io.Writer     // receives one line for each step; may be nil
	Burst    time.Duration // length of the burst of queries

	users  []*user
	report Report
}

// user is one user of the system, with its cell and its queries.
type user struct {
	name   string
	cell   *local.Cell
	groups []queryStream
	tally  *tally
}

// queryStream describes the queries to one group.
type queryStream struct {
	group      magnoliashore.GroupName
	period     time.Duration // between two queries
	deadline   time.Duration
	topK       int  // records kept by a top-K merge; zero keeps every partial result whole
	atMostOnce bool // the queries are not idempotent
}

// Run runs the steps in order until one fails. It stops the cells in any case.
func (r *Run) Run(ctx context.Context) (Report, error) {
	r.users = []*user{kovacic(), peachtree()}
	defer r.stop()
	for _, step := range r.steps() {
		r.logProgress(step.String())
		if err := step.Run(ctx); err != nil {
			return r.report, magnoliashore.Step(err, step.String(), "")
		}
	}
	return r.report, nil
}

// steps returns the steps in order.
func (r *Run) steps() []Step {
	return []Step{
		startStep{run: r},
		warmStep{run: r},
		burstStep{run: r},
		stopStep{run: r},
		compareStep{run: r},
	}
}

func (r *Run) logProgress(line string) {
	if r.Progress != nil {
		_, _ = io.WriteString(r.Progress, line+"\n")
	}
}

func (r *Run) stop() {
	for _, u := range r.users {
		u.stop()
	}
}

func (u *user) stop() {
	if u.cell == nil {
		return
	}
	_ = u.cell.Stop()
	u.cell = nil
}

func kovacic() *user {
	return &user{
		name:  "kovacic",
		cell:  &local.Cell{Shape: standin.Kovacic(shapeScale), Hosts: hostsPerCell},
		tally: newTally(),
		groups: []queryStream{
			{group: "gallery", period: 10 * time.Millisecond, deadline: 86 * time.Millisecond, topK: 10},
			{group: "upload", period: 40 * time.Millisecond, deadline: 400 * time.Millisecond},
			{group: "archive", period: 20 * time.Millisecond, deadline: time.Second, topK: 20},
			{group: "enquiry", period: 20 * time.Millisecond, deadline: 200 * time.Millisecond, atMostOnce: true},
		},
	}
}

func peachtree() *user {
	return &user{
		name:  "peachtree",
		cell:  &local.Cell{Shape: standin.Peachtree(shapeScale), Hosts: hostsPerCell},
		tally: newTally(),
		groups: []queryStream{
			{group: "trend", period: 10 * time.Millisecond, deadline: 86 * time.Millisecond, topK: 10},
			{group: "portal", period: 40 * time.Millisecond, deadline: 400 * time.Millisecond},
			{group: "billing", period: 20 * time.Millisecond, deadline: 200 * time.Millisecond, atMostOnce: true},
			{group: "audit", period: 40 * time.Millisecond, deadline: time.Second},
		},
	}
}
