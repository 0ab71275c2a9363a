package catalog

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// TargetSpec holds the fields to build a Target from.
type TargetSpec struct {
	ID        magnoliashore.TargetID
	Service   magnoliashore.ServiceName
	Address   string // ip:port
	Zone      magnoliashore.ZoneName
	Slots     int // requests that it runs at the same time
	Leaving   bool
	ColdUntil time.Time // zero if it is not known to be cold
	Born      int64     // when its process started, in Unix milliseconds of its own clock
}

// Target is one process that serves a service.
type Target struct {
	spec TargetSpec
}

// NewTarget returns the target that spec describes.
func NewTarget(spec TargetSpec) *Target { return &Target{spec: spec} }

// ID returns the identity of the process.
func (t *Target) ID() magnoliashore.TargetID { return t.spec.ID }

// Service returns the service that it serves.
func (t *Target) Service() magnoliashore.ServiceName { return t.spec.Service }

// Address returns its ip:port.
func (t *Target) Address() string { return t.spec.Address }

// Zone returns its availability zone.
func (t *Target) Zone() magnoliashore.ZoneName { return t.spec.Zone }

// Slots returns how many requests it runs at the same time.
func (t *Target) Slots() int { return max(t.spec.Slots, 1) }

// Leaving reports whether it is to get no more requests.
func (t *Target) Leaving() bool { return t.spec.Leaving }

// ColdUntil returns the time until which it is cold; zero if it is not known
// to be.
func (t *Target) ColdUntil() time.Time { return t.spec.ColdUntil }

// Born returns when its process started, in Unix milliseconds of its own
// clock.
func (t *Target) Born() int64 { return t.spec.Born }

// View is the configuration and the targets that may get work at one moment.
type View struct {
	config  *Config
	targets map[magnoliashore.ServiceName][]*Target
	ids     map[magnoliashore.TargetID]bool
}

// NewView returns a view of config, which may be nil, and of targets.
func NewView(config *Config, targets []*Target) *View {
	v := &View{
		config:  config,
		targets: make(map[magnoliashore.ServiceName][]*Target),
		ids:     make(map[magnoliashore.TargetID]bool, len(targets)),
	}
	for _, t := range targets {
		v.ids[t.ID()] = true
		v.targets[t.Service()] = append(v.targets[t.Service()], t)
	}
	return v
}

// Config returns the configuration; nil if none is known yet.
func (v *View) Config() *Config { return v.config }

// Targets returns the targets of a service that may get work.
func (v *View) Targets(service magnoliashore.ServiceName) []*Target { return v.targets[service] }

// Has reports whether a target may get work.
func (v *View) Has(id magnoliashore.TargetID) bool { return v.ids[id] }
