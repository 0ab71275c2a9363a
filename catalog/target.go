package catalog

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// TargetSpec holds the fields to build a Target from.
type TargetSpec struct {
	ID           magnoliashore.TargetID
	Service      magnoliashore.ServiceName
	Address      string // ip:port
	Zone         magnoliashore.ZoneName
	Slots        int       // requests that it runs concurrently
	Leaving      bool      // whether it must get no new requests
	ColdUntil    time.Time // end of its cold period; zero if it is not known to be cold
	ProcessStart int64     // start of its process, in Unix milliseconds by its own clock; zero if not known
	Report       uint64    // number of this report, rising over the life of the process
}

// Target is a process that serves a service.
type Target struct {
	spec TargetSpec
}

// NewTarget returns the target described by spec.
func NewTarget(spec TargetSpec) *Target { return &Target{spec: spec} }

// ID returns the ID of the process.
func (t *Target) ID() magnoliashore.TargetID { return t.spec.ID }

// Service returns the service that the target serves.
func (t *Target) Service() magnoliashore.ServiceName { return t.spec.Service }

// Address returns the ip:port of the target.
func (t *Target) Address() string { return t.spec.Address }

// Zone returns the availability zone of the target.
func (t *Target) Zone() magnoliashore.ZoneName { return t.spec.Zone }

// Slots returns how many requests the target runs concurrently, at least 1.
func (t *Target) Slots() int { return max(t.spec.Slots, 1) }

// Leaving reports whether the target must get no new requests.
func (t *Target) Leaving() bool { return t.spec.Leaving }

// ColdUntil returns when the target stops being cold; zero if it is not known to
// be cold.
func (t *Target) ColdUntil() time.Time { return t.spec.ColdUntil }

// ProcessStart returns when the process started, in Unix milliseconds by its own
// clock; zero if not known.
func (t *Target) ProcessStart() int64 { return t.spec.ProcessStart }

// ReportedBefore reports whether this report was made before another one by the
// same process. It is false if the two may come from different processes.
func (t *Target) ReportedBefore(other *Target) bool {
	return t.SameProcess(other) && t.spec.Report < other.spec.Report
}

// MayBeProcessOf reports whether this report may come from the process of an earlier one.
func (t *Target) MayBeProcessOf(earlier *Target) bool {
	if t.spec.ID != earlier.spec.ID || t.spec.Address != earlier.spec.Address || t.spec.ProcessStart != earlier.spec.ProcessStart {
		return false
	}
	return t.spec.ProcessStart != 0 || t.spec.Report >= earlier.spec.Report // the number begins anew with a process
}

// SameProcess reports whether two reports are known to come from one process.
func (t *Target) SameProcess(other *Target) bool {
	return t.spec.ID == other.spec.ID && t.spec.ProcessStart == other.spec.ProcessStart && t.spec.ProcessStart != 0
}

// View is a snapshot of the configuration and of the targets that may get
// requests.
type View struct {
	config  *Config
	targets map[magnoliashore.ServiceName][]*Target
	byID    map[magnoliashore.TargetID]*Target
	byZone  map[magnoliashore.ZoneName][]*Target
	others  map[magnoliashore.ServiceName][]*Target
}

// NewView returns a view of config, of the targets that may get requests, and of others
// that are known; config may be nil.
func NewView(config *Config, targets []*Target, others ...*Target) *View {
	v := &View{
		config:  config,
		targets: make(map[magnoliashore.ServiceName][]*Target),
		byID:    make(map[magnoliashore.TargetID]*Target, len(targets)),
		byZone:  make(map[magnoliashore.ZoneName][]*Target),
		others:  make(map[magnoliashore.ServiceName][]*Target),
	}
	for _, t := range others {
		v.others[t.Service()] = append(v.others[t.Service()], t)
	}
	for _, t := range targets {
		v.byID[t.ID()] = t
		v.byZone[t.Zone()] = append(v.byZone[t.Zone()], t)
		v.targets[t.Service()] = append(v.targets[t.Service()], t)
	}
	return v
}

// Config returns the configuration, or nil if none has been loaded yet.
func (v *View) Config() *Config { return v.config }

// Targets returns the targets of a service that may get requests.
func (v *View) Targets(service magnoliashore.ServiceName) []*Target { return v.targets[service] }

// Known returns all targets of a service that this host knows of, also those that must
// not get requests: another host may still send them some.
func (v *View) Known(service magnoliashore.ServiceName) []*Target {
	return slices.Concat(v.targets[service], v.others[service])
}

// Has reports whether a target may get requests.
func (v *View) Has(id magnoliashore.TargetID) bool { return v.byID[id] != nil }

// Target returns a target that may get requests, or nil.
func (v *View) Target(id magnoliashore.TargetID) *Target { return v.byID[id] }

// Zones returns the targets that may get requests, by availability zone.
func (v *View) Zones() map[magnoliashore.ZoneName][]*Target { return v.byZone }
