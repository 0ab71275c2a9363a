// Package load implements an open-loop load and experiment tool. It sends
// queries on a seeded schedule that does not depend on the answers, injects
// faults at set times, and compares several policies under the same schedule.
package load

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Experiment is the decoded description of an experiment. Use Decode to
// create one.
type Experiment struct {
	name     string
	seed     uint64
	shape    standin.Shape
	embedded bool
	hosts    int // entry hosts of an embedded cell
	remote   remoteAddresses
	warmup   time.Duration
	length   time.Duration
	groups   []group
	targets  targetOverrides
	faults   []fault
	policies []policy
	baseline string // name of the policy to compare the others with; may be empty
}

// Name returns the name of the experiment.
func (e Experiment) Name() string { return e.name }

// Policies returns the names of the policies in the order of their runs.
func (e Experiment) Policies() []string {
	names := make([]string, 0, len(e.policies))
	for _, p := range e.policies {
		names = append(names, p.name)
	}
	return names
}

// group is the load on one group of services.
type group struct {
	name       magnoliashore.GroupName
	rate       float64 // arrivals per second
	deadline   time.Duration
	topK       int  // records kept by a top-K merge; zero keeps every partial result whole
	atMostOnce bool // the queries are not idempotent
}

// targetOverrides replaces settings of the targets of an embedded cell. A nil
// field keeps the value of the shape.
type targetOverrides struct {
	latency   *time.Duration
	straggle  *float64
	straggler *time.Duration
}

// remoteAddresses holds the "ip:port" addresses of a running system.
type remoteAddresses struct {
	entries   []string
	operators []string
	platform  string // serves reads of the platform's configuration
	admin     string // admin interface of the platform
	fleet     string // admin interface of the targets
}

// policy is one variant of the system in a comparison.
type policy struct {
	name          string
	direct        bool                       // send queries to the targets without entry hosts
	rateFactor    float64                    // multiplier for the rate of every group
	applySettings func(s *settings.Settings) // changes the settings of each entry host; may be nil
}

// action is the kind of a fault, as the file writes it.
type action string

// The actions. A file cannot contain actionRetire, which follows each
// actionSnapshot automatically.
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

// fault is one fault to inject.
type fault struct {
	at       time.Duration // since the end of the warm-up
	action   action
	argument string // zone, target, entry host or platform mode; empty for some actions
}

// label returns the text of the fault in the experiment file.
func (f fault) label() string {
	if f.argument == "" {
		return string(f.action)
	}
	return string(f.action) + " " + f.argument
}
