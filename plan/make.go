package plan

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// Make returns the plan of a query on the newest snapshot of its group, or a
// fault if no plan can be made. The plan includes partitions without a usable
// replica, so that coverage counts them.
func Make(view magnoliashore.View, query magnoliashore.Query) (Plan, *Fault) {
	if f := check(view, query); f != nil {
		return Plan{}, f
	}
	snapshot, ok := view.Layout().Newest(query.Group())
	if !ok {
		return Plan{}, fault(magnoliashore.ReasonSnapshot, "group %q has no snapshot", query.Group())
	}
	p := Plan{
		snapshot:    snapshot.ID(),
		group:       query.Group(),
		deadline:    query.Deadline(),
		rowDeadline: Deadline(view, query.Group(), query.Services()),
		atMostOnce:  query.Once(),
		partitions:  makePartitions(view, snapshot, query.Services()),
	}
	if f := p.check(query); f != nil {
		return Plan{}, f
	}
	p.class = p.mostUrgentClass()
	return p, nil
}

// check validates the names of the group and the services in the query.
func check(view magnoliashore.View, query magnoliashore.Query) *Fault {
	if !known(view, query.Group()) {
		return fault(magnoliashore.ReasonRequest, "unknown group %q", query.Group())
	}
	for i, name := range query.Services() {
		row, ok := view.Table().Service(name)
		if !ok {
			return fault(magnoliashore.ReasonRequest, "unknown service %q", name)
		}
		if row.Group() != query.Group() {
			return fault(magnoliashore.ReasonRequest, "service %q is not in group %q", name, query.Group())
		}
		if slices.Contains(query.Services()[:i], name) {
			return fault(magnoliashore.ReasonRequest, "service %q is named twice", name)
		}
	}
	return nil
}

// known reports whether the group has a snapshot or a service.
func known(view magnoliashore.View, group magnoliashore.GroupName) bool {
	if _, ok := view.Layout().Newest(group); ok {
		return true
	}
	return slices.ContainsFunc(view.Table().Services(), func(row magnoliashore.Service) bool {
		return row.Group() == group
	})
}

// wanted reports whether the row is of the group and of one of the named
// services.
func wanted(row magnoliashore.Service, group magnoliashore.GroupName, services []magnoliashore.ServiceName) bool {
	if row.Group() != group {
		return false
	}
	return named(row.Name(), services)
}

// named reports whether services contains the service. An empty list names all
// services.
func named(service magnoliashore.ServiceName, services []magnoliashore.ServiceName) bool {
	return len(services) == 0 || slices.Contains(services, service)
}

// check returns a fault if the plan cannot be used. Coverage counts partitions,
// so without this check a service that the query names but the snapshot lacks
// would be left out silently.
func (p Plan) check(query magnoliashore.Query) *Fault {
	for _, name := range query.Services() {
		if !slices.ContainsFunc(p.partitions, func(partition Partition) bool { return partition.partition.Service() == name }) {
			return fault(magnoliashore.ReasonSnapshot, "snapshot %d has no partition of service %q", p.snapshot, name)
		}
	}
	if len(p.partitions) == 0 {
		return fault(magnoliashore.ReasonSnapshot, "snapshot %d of group %q has no partition", p.snapshot, p.group)
	}
	if !slices.ContainsFunc(p.partitions, func(partition Partition) bool { return !partition.service.Off() }) {
		return fault(magnoliashore.ReasonOff, "every service that the query needs is off")
	}
	return nil
}

// mostUrgentClass returns the most urgent class among the services that are not
// switched off.
func (p Plan) mostUrgentClass() magnoliashore.Class {
	class := magnoliashore.ClassBackground
	for _, partition := range p.partitions {
		if !partition.service.Off() {
			class = min(class, partition.service.Class())
		}
	}
	return class
}
