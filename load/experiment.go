// Package load provides an open-loop load and experiment tool: queries are
// sent on a seeded schedule whatever the answers do, faults happen on a time
// line, and several policies are compared under the same schedule.
package load

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Experiment is one experiment as its file describes it.
type Experiment struct {
	name     string
	seed     uint64
	shape    standin.Shape
	embedded bool
	hosts    int // entry hosts of an embedded cell
	remote   remote
	warmup   time.Duration
	length   time.Duration
	groups   []group
	targets  tune
	faults   []fault
	policies []policy
	against  string // policy that the others are compared with; may be empty
}

// Name returns the name of the experiment.
func (e Experiment) Name() string { return e.name }

// Policies returns the names of the policies in the order in which they run.
func (e Experiment) Policies() []string {
	names := make([]string, 0, len(e.policies))
	for _, p := range e.policies {
		names = append(names, p.name)
	}
	return names
}

// group is one stream of queries.
type group struct {
	name     magnoliashore.GroupName
	rate     float64 // arrivals per second
	deadline time.Duration
	best     int // items of a best-N merge; zero means every part whole
	once     bool
}

// tune changes the targets of an embedded cell; a nil field keeps the shape's
// value.
type tune struct {
	latency   *time.Duration
	straggle  *float64
	straggler *time.Duration
}

// remote holds the "ip:port" addresses of processes that already run.
type remote struct {
	entries   []string
	operators []string
	platform  string // read side of the platform
	admin     string // operator's side of the platform
	fleet     string // operator's side of the targets
}

// policy is one of the variants to compare.
type policy struct {
	name    string
	direct  bool    // queries go straight to the targets
	factor  float64 // multiplies the rate of every group
	overlay func(s *settings.Settings)
}

// action names what a fault does.
type action string

// The actions.
const (
	actionZoneOut  action = "zone-out"
	actionZoneIn   action = "zone-in"
	actionChill    action = "chill"
	actionRestart  action = "restart"
	actionLeave    action = "leave"
	actionSnapshot action = "snapshot"
	actionRetire   action = "retire"
	actionPlatform action = "platform"
)

// fault is one event of the time line.
type fault struct {
	at time.Duration // after the end of the warm-up
	do action
	on string // zone, target, entry host or mode; empty for some actions
}

// label returns the fault as the file writes it.
func (f fault) label() string {
	if f.on == "" {
		return string(f.do)
	}
	return string(f.do) + " " + f.on
}
