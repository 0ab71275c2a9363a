// Package try provides the main job on embedded stand-ins: both users' shapes
// run in this process on loopback, answer a short burst of queries, lose one
// target on the way, and are measured against the stand-ins' own ledgers.
package try

import (
	"context"
	"io"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/local"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Sizes of the run.
const (
	hostsPerCell = 3
	shapeScale   = 0.5
	startLimit   = 10 * time.Second
	warmTime     = 1500 * time.Millisecond
	warmSlower   = 4 // times less load while the targets warm up
)

// Step is one step of the run.
type Step interface {
	// String says what the step does, in lower case.
	String() string
	// Run does it.
	Run(ctx context.Context) error
}

// Run is one run of the main job. Set the exported fields before Run.
type Run struct {
	Progress io.Writer     // takes a line for each step; may be nil
	Burst    time.Duration // length of the burst of queries

	users  []*user
	report Report
}

// user is one user's shape with its cell and its load.
type user struct {
	name   string
	cell   *local.Cell
	groups []load
	tally  *tally
}

// load is the stream of queries to one group.
type load struct {
	group    magnoliashore.GroupName
	period   time.Duration // between two queries
	deadline time.Duration
	best     int
	once     bool
}

// Run runs every step in order and stops the cells, also after a failure.
func (r *Run) Run(ctx context.Context) (Report, error) {
	r.users = []*user{kovacic(), peachtree()}
	defer r.stop()
	for _, step := range r.steps() {
		r.say(step.String())
		if err := step.Run(ctx); err != nil {
			return r.report, magnoliashore.Step(err, step.String(), "")
		}
	}
	return r.report, nil
}

// steps lists the whole job.
func (r *Run) steps() []Step {
	return []Step{
		startStep{run: r},
		warmStep{run: r},
		burstStep{run: r},
		stopStep{run: r},
		compareStep{run: r},
	}
}

func (r *Run) say(line string) {
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
		groups: []load{
			{group: "gallery", period: 10 * time.Millisecond, deadline: 86 * time.Millisecond, best: 10},
			{group: "upload", period: 40 * time.Millisecond, deadline: 400 * time.Millisecond},
			{group: "archive", period: 20 * time.Millisecond, deadline: time.Second, best: 20},
			{group: "enquiry", period: 20 * time.Millisecond, deadline: 200 * time.Millisecond, once: true},
		},
	}
}

func peachtree() *user {
	return &user{
		name:  "peachtree",
		cell:  &local.Cell{Shape: standin.Peachtree(shapeScale), Hosts: hostsPerCell},
		tally: newTally(),
		groups: []load{
			{group: "trend", period: 10 * time.Millisecond, deadline: 86 * time.Millisecond, best: 10},
			{group: "portal", period: 40 * time.Millisecond, deadline: 400 * time.Millisecond},
			{group: "billing", period: 20 * time.Millisecond, deadline: 200 * time.Millisecond, once: true},
			{group: "audit", period: 40 * time.Millisecond, deadline: time.Second},
		},
	}
}
