package magnoliashore

import (
	"slices"
	"time"
)

// Class orders services by how much a delay hurts. A lower value goes first.
type Class int

// The classes of service, the most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBackground
)

// Classes lists every class, the most urgent first.
func Classes() []Class { return []Class{ClassUrgent, ClassNormal, ClassBackground} }

// String returns the class as the table writes it.
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

// ServiceSpec holds the columns of one service row, to build a Service from.
type ServiceSpec struct {
	Name     ServiceName
	Group    GroupName
	Class    Class
	Weight   int           // share inside the class, 1 to 1000
	Zones    []ZoneName    // availability zones the service may use; empty means all
	Deadline time.Duration // used where a query states none
	Slots    int           // requests that one warm target runs at once
	Conns    int           // connections that one target accepts
	Cold     int           // requests that one cold target bears at once
	Hedge    bool          // whether a slow sub-request may be sent to a second replica
	Retry    bool          // whether a refused sub-request may be sent to another replica
	Queue    int           // requests that may wait for one target
	Coverage float64       // lowest share of partitions that makes an answer useful, 0 to 1
	Off      bool          // an operator has switched the service off
}

// Service is one row of the operators' table.
type Service struct{ spec ServiceSpec }

// NewService returns the service that spec describes. The table codec checks
// the ranges; NewService does not.
func NewService(spec ServiceSpec) Service {
	spec.Zones = slices.Clone(spec.Zones)
	return Service{spec: spec}
}

// Name returns the service's name.
func (s Service) Name() ServiceName { return s.spec.Name }

// Group returns the group that the service belongs to.
func (s Service) Group() GroupName { return s.spec.Group }

// Class returns the service's class.
func (s Service) Class() Class { return s.spec.Class }

// Weight returns the service's share inside its class.
func (s Service) Weight() int { return s.spec.Weight }

// Zones returns the availability zones the service may use; empty means all.
func (s Service) Zones() []ZoneName { return s.spec.Zones }

// Deadline returns the time that a query without a deadline gets.
func (s Service) Deadline() time.Duration { return s.spec.Deadline }

// Slots returns how many requests one warm target runs at once.
func (s Service) Slots() int { return s.spec.Slots }

// Conns returns how many connections one target accepts.
func (s Service) Conns() int { return s.spec.Conns }

// Cold returns how many requests one cold target bears at once.
func (s Service) Cold() int { return s.spec.Cold }

// Hedge reports whether a slow sub-request may be sent to a second replica.
func (s Service) Hedge() bool { return s.spec.Hedge }

// Retry reports whether a refused sub-request may be sent to another replica.
func (s Service) Retry() bool { return s.spec.Retry }

// Queue returns how many requests may wait for one target.
func (s Service) Queue() int { return s.spec.Queue }

// Coverage returns the lowest useful share of partitions, 0 to 1.
func (s Service) Coverage() float64 { return s.spec.Coverage }

// Off reports whether an operator has switched the service off.
func (s Service) Off() bool { return s.spec.Off }

// Allows reports whether the service may use targets in zone.
func (s Service) Allows(zone ZoneName) bool {
	return len(s.spec.Zones) == 0 || slices.Contains(s.spec.Zones, zone)
}

// Zone is the row of one availability zone.
type Zone struct {
	name ZoneName
	out  bool
}

// NewZone returns the zone row; out means that operators have taken it out.
func NewZone(name ZoneName, out bool) Zone { return Zone{name: name, out: out} }

// Name returns the zone's name.
func (z Zone) Name() ZoneName { return z.name }

// Out reports whether operators have taken the zone out.
func (z Zone) Out() bool { return z.out }

// Table is one published version of the operators' table.
type Table struct {
	version  Version
	services []Service
	zones    []Zone
	byName   map[ServiceName]int
	out      map[ZoneName]bool
}

// NewTable returns the table with its rows in the given order.
func NewTable(version Version, services []Service, zones []Zone) Table {
	t := Table{
		version:  version,
		services: slices.Clone(services),
		zones:    slices.Clone(zones),
		byName:   make(map[ServiceName]int, len(services)),
		out:      make(map[ZoneName]bool, len(zones)),
	}
	for i, s := range services {
		t.byName[s.Name()] = i
	}
	for _, z := range zones {
		t.out[z.Name()] = z.Out()
	}
	return t
}

// Version returns the version under which the table was published.
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

// ZoneOut reports whether operators have taken the zone out. A zone without a
// row is in.
func (t Table) ZoneOut(name ZoneName) bool { return t.out[name] }
