package plan

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// Make returns the plan of the query on the newest snapshot of its group. A
// partition without a usable replica stays in the plan, so that coverage
// counts it. The fault is nil if a plan was made.
func Make(view magnoliashore.View, query magnoliashore.Query) (Plan, *Fault) {
	if f := check(view, query); f != nil {
		return Plan{}, f
	}
	snapshot, ok := view.Layout().Newest(query.Group())
	if !ok {
		return Plan{}, fault(magnoliashore.ReasonSnapshot, "group %q has no snapshot", query.Group())
	}
	p := Plan{
		snapshot: snapshot.ID(),
		group:    query.Group(),
		deadline: query.Deadline(),
		allowed:  Deadline(view, query.Group(), query.Services()),
		once:     query.Once(),
		pieces:   pieces(view, snapshot, query.Services()),
	}
	if f := p.check(query); f != nil {
		return Plan{}, f
	}
	p.class = p.urgent()
	return p, nil
}

// check returns what is wrong with the names in the query, nil if nothing.
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

func known(view magnoliashore.View, group magnoliashore.GroupName) bool {
	if _, ok := view.Layout().Newest(group); ok {
		return true
	}
	return slices.ContainsFunc(view.Table().Services(), func(row magnoliashore.Service) bool {
		return row.Group() == group
	})
}

func wanted(row magnoliashore.Service, group magnoliashore.GroupName, services []magnoliashore.ServiceName) bool {
	if row.Group() != group {
		return false
	}
	return named(row.Name(), services)
}

func named(service magnoliashore.ServiceName, services []magnoliashore.ServiceName) bool {
	return len(services) == 0 || slices.Contains(services, service)
}

// check returns why the plan cannot be used, nil if it can. A service that
// the query names and the snapshot lacks would be left out unseen, because
// coverage counts partitions.
func (p Plan) check(query magnoliashore.Query) *Fault {
	for _, name := range query.Services() {
		if !slices.ContainsFunc(p.pieces, func(e Partition) bool { return e.partition.Service() == name }) {
			return fault(magnoliashore.ReasonSnapshot, "snapshot %d has no partition of service %q", p.snapshot, name)
		}
	}
	if len(p.pieces) == 0 {
		return fault(magnoliashore.ReasonSnapshot, "snapshot %d of group %q has no partition", p.snapshot, p.group)
	}
	if !slices.ContainsFunc(p.pieces, func(e Partition) bool { return !e.service.Off() }) {
		return fault(magnoliashore.ReasonOff, "every service that the query needs is off")
	}
	return nil
}

// urgent returns the most urgent class among the services that are on.
func (p Plan) urgent() magnoliashore.Class {
	class := magnoliashore.ClassBackground
	for _, e := range p.pieces {
		if !e.service.Off() {
			class = min(class, e.service.Class())
		}
	}
	return class
}
