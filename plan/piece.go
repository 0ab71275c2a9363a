package plan

import "github.com/magnoliashore/magnoliashore"

// pieces returns the partitions of the named services. The usable replicas of
// all pieces share one array.
func pieces(view magnoliashore.View, snapshot magnoliashore.Snapshot, services []magnoliashore.ServiceName) []Partition {
	partitions, replicas := size(snapshot, services)
	list := make([]Partition, 0, partitions)
	array := make([]magnoliashore.Target, 0, replicas)
	for _, partition := range snapshot.Partitions() {
		if !named(partition.Service(), services) {
			continue
		}
		var e Partition
		e, array = piece(view, snapshot, partition, array)
		list = append(list, e)
	}
	return list
}

// size returns how many partitions the services have and how many replicas
// these have together.
func size(snapshot magnoliashore.Snapshot, services []magnoliashore.ServiceName) (partitions, replicas int) {
	for _, partition := range snapshot.Partitions() {
		if !named(partition.Service(), services) {
			continue
		}
		partitions++
		replicas += len(partition.Targets())
	}
	return partitions, replicas
}

// piece returns the piece of one partition, its targets appended to array.
func piece(view magnoliashore.View, snapshot magnoliashore.Snapshot, partition magnoliashore.Partition, array []magnoliashore.Target) (Partition, []magnoliashore.Target) {
	e := Partition{partition: partition, service: row(view, snapshot, partition.Service())}
	first := len(array)
	for _, id := range partition.Targets() {
		reason, ok := view.Usable(id)
		if !ok {
			e.blame(reason)
			continue
		}
		t, _ := view.Layout().Target(id)
		array = append(array, t)
	}
	e.targets = array[first:len(array):len(array)]
	if len(e.targets) > 0 {
		e.reason = magnoliashore.ReasonNone
		return e, array
	}
	e.blame(magnoliashore.ReasonLeaving)
	return e, array
}

// blame records the reason of the first replica that is not usable.
func (p *Partition) blame(reason magnoliashore.Reason) {
	if p.reason == magnoliashore.ReasonNone {
		p.reason = reason
	}
}

func row(view magnoliashore.View, snapshot magnoliashore.Snapshot, name magnoliashore.ServiceName) magnoliashore.Service {
	s, ok := view.Table().Service(name)
	if ok {
		return s
	}
	return magnoliashore.NewService(magnoliashore.ServiceSpec{Name: name, Group: snapshot.Group(), Off: true})
}
