package magnoliashore

import (
	"slices"
	"time"
)

// Class is the priority of a service; lower values are more urgent.
type Class int

// The priority classes, most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBackground
)

// Classes returns all classes, most urgent first.
func Classes() []Class { return []Class{ClassUrgent, ClassNormal, ClassBackground} }

// String returns the class as it is written in the operators' table.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassNormal:
		return "normal"
	case ClassBackground:
		return "background"
	default:
		return "invalid"
	}
}

// ServiceSpec holds the columns of a service row, to build a Service from.
type ServiceSpec struct {
	Name     ServiceName
	Group    GroupName
	Class    Class
	Weight   int           // weight within the class, 1 to 1000
	Zones    []ZoneName    // availability zones that the service may use; empty means all
	Deadline time.Duration // default for queries without a deadline
	Slots    int           // concurrency limit of a warm target
	Conns    int           // maximum number of connections to a target
	Cold     int           // concurrency limit of a cold target
	Hedge    bool          // whether slow sub-requests may be hedged on a second replica
	Retry    bool          // whether refused sub-requests may be retried on another replica
	Queue    int           // maximum number of requests waiting for a target
	Coverage float64       // minimum fraction of partitions in a useful answer, 0 to 1
	Off      bool          // whether an operator has switched the service off
}

// Service is the row of a service in the operators' table.
type Service struct{ spec ServiceSpec }

// NewService returns the service that spec describes. It does not check the
// ranges; the table codec does.
func NewService(spec ServiceSpec) Service {
	spec.Zones = slices.Clone(spec.Zones)
	return Service{spec: spec}
}

// Name returns the service's name.
func (s Service) Name() ServiceName { return s.spec.Name }

// Group returns the group that the service belongs to.
func (s Service) Group() GroupName { return s.spec.Group }

// Class returns the service's priority class.
func (s Service) Class() Class { return s.spec.Class }

// Weight returns the service's weight within its class.
func (s Service) Weight() int { return s.spec.Weight }

// Zones returns the availability zones that the service may use; empty means
// all.
func (s Service) Zones() []ZoneName { return s.spec.Zones }

// Deadline returns the default for queries without a deadline.
func (s Service) Deadline() time.Duration { return s.spec.Deadline }

// Slots returns the concurrency limit of a warm target.
func (s Service) Slots() int { return s.spec.Slots }

// Conns returns the maximum number of connections to a target.
func (s Service) Conns() int { return s.spec.Conns }

// Cold returns the concurrency limit of a cold target.
func (s Service) Cold() int { return s.spec.Cold }

// Hedge reports whether slow sub-requests may be hedged on a second replica.
func (s Service) Hedge() bool { return s.spec.Hedge }

// Retry reports whether refused sub-requests may be retried on another replica.
func (s Service) Retry() bool { return s.spec.Retry }

// Queue returns the maximum number of requests waiting for a target.
func (s Service) Queue() int { return s.spec.Queue }

// Coverage returns the minimum fraction of partitions in a useful answer, 0 to
// 1.
func (s Service) Coverage() float64 { return s.spec.Coverage }

// Off reports whether an operator has switched the service off.
func (s Service) Off() bool { return s.spec.Off }

// Allows reports whether the service may use targets in zone.
func (s Service) Allows(zone ZoneName) bool {
	return len(s.spec.Zones) == 0 || slices.Contains(s.spec.Zones, zone)
}

// Zone is the row of an availability zone in the operators' table.
type Zone struct {
	name      ZoneName
	evacuated bool
}

// NewZone returns a zone row; evacuated means that operators have taken the zone out.
func NewZone(name ZoneName, evacuated bool) Zone { return Zone{name: name, evacuated: evacuated} }

// Name returns the zone's name.
func (z Zone) Name() ZoneName { return z.name }

// Out reports whether operators have taken the zone out.
func (z Zone) Out() bool { return z.evacuated }

// Table is a published version of the operators' table.
type Table struct {
	version   Version
	services  []Service
	zones     []Zone
	byName    map[ServiceName]int
	evacuated map[ZoneName]bool
}

// NewTable returns the table with its rows in the given order.
func NewTable(version Version, services []Service, zones []Zone) Table {
	t := Table{
		version:   version,
		services:  slices.Clone(services),
		zones:     slices.Clone(zones),
		byName:    make(map[ServiceName]int, len(services)),
		evacuated: make(map[ZoneName]bool, len(zones)),
	}
	for i, s := range services {
		t.byName[s.Name()] = i
	}
	for _, z := range zones {
		t.evacuated[z.Name()] = z.Out()
	}
	return t
}

// Version returns the published version.
func (t Table) Version() Version { return t.version }

// Services returns the service rows in table order. The caller must not
// change the slice.
func (t Table) Services() []Service { return t.services }

// Zones returns the zone rows in table order. The caller must not change the
// slice.
func (t Table) Zones() []Zone { return t.zones }

// Service returns the row of the named service.
func (t Table) Service(name ServiceName) (Service, bool) {
	i, ok := t.byName[name]
	if !ok {
		return Service{}, false
	}
	return t.services[i], true
}

// ZoneOut reports whether operators have taken the zone out. It is false for a
// zone without a row.
func (t Table) ZoneOut(name ZoneName) bool { return t.evacuated[name] }
