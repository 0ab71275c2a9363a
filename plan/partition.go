package plan

import "github.com/magnoliashore/magnoliashore"

// makePartitions returns the partitions of the named services. Their lists of
// usable replicas share one array.
func makePartitions(view magnoliashore.View, snapshot magnoliashore.Snapshot, services []magnoliashore.ServiceName) []Partition {
	partitions, replicas := count(snapshot, services)
	list := make([]Partition, 0, partitions)
	targets := make([]magnoliashore.Target, 0, replicas)
	for _, partition := range snapshot.Partitions() {
		if !named(partition.Service(), services) {
			continue
		}
		var planned Partition
		planned, targets = makePartition(view, snapshot, partition, targets)
		list = append(list, planned)
	}
	return list
}

// count returns the numbers of partitions of the services and of all their
// replicas.
func count(snapshot magnoliashore.Snapshot, services []magnoliashore.ServiceName) (partitions, replicas int) {
	for _, partition := range snapshot.Partitions() {
		if !named(partition.Service(), services) {
			continue
		}
		partitions++
		replicas += len(partition.Targets())
	}
	return partitions, replicas
}

// makePartition returns one partition of the plan. It appends the usable replicas
// to targets and returns the longer slice.
func makePartition(view magnoliashore.View, snapshot magnoliashore.Snapshot, partition magnoliashore.Partition, targets []magnoliashore.Target) (Partition, []magnoliashore.Target) {
	planned := Partition{partition: partition, service: row(view, snapshot, partition.Service())}
	first := len(targets)
	for _, id := range partition.Targets() {
		reason, ok := view.Usable(id)
		if !ok {
			planned.setReason(reason)
			continue
		}
		t, _ := view.Layout().Target(id)
		targets = append(targets, t)
	}
	planned.targets = targets[first:len(targets):len(targets)]
	if len(planned.targets) > 0 {
		planned.reason = magnoliashore.ReasonNone
		return planned, targets
	}
	planned.setReason(magnoliashore.ReasonLeaving)
	return planned, targets
}

// setReason records the reason for which a replica is not usable, if none is
// recorded yet.
func (p *Partition) setReason(reason magnoliashore.Reason) {
	if p.reason == magnoliashore.ReasonNone {
		p.reason = reason
	}
}

// row returns the table row of a service, or a row that is switched off if there
// is none.
func row(view magnoliashore.View, snapshot magnoliashore.Snapshot, name magnoliashore.ServiceName) magnoliashore.Service {
	s, ok := view.Table().Service(name)
	if ok {
		return s
	}
	return magnoliashore.NewService(magnoliashore.ServiceSpec{Name: name, Group: snapshot.Group(), Off: true})
}
