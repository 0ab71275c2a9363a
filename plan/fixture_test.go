package plan_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// snapshot returns a snapshot with one partition per spec, written as
// "service:target,target". A partition has the name of its service.
func snapshot(id magnoliashore.SnapshotID, group magnoliashore.GroupName, specs ...string) magnoliashore.Snapshot {
	partitions := make([]magnoliashore.Partition, 0, len(specs))
	for _, spec := range specs {
		name, names, _ := strings.Cut(spec, ":")
		targets := list[magnoliashore.TargetID](strings.Split(names, ","))
		partitions = append(partitions, magnoliashore.NewPartition(magnoliashore.PartitionID(name), magnoliashore.ServiceName(name), targets))
	}
	return magnoliashore.NewSnapshot(id, group, partitions)
}

// wide returns a view of n services with two targets each.
func wide(n int) magnoliashore.View {
	services := make([]magnoliashore.Service, 0, n)
	targets := make([]magnoliashore.Target, 0, 2*n)
	specs := make([]string, 0, n)
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		services = append(services, service(name, "wide", magnoliashore.ClassNormal, time.Second, false))
		for _, zone := range []string{"a", "b"} {
			targets = append(targets, magnoliashore.NewTarget(magnoliashore.TargetID(name+zone), magnoliashore.ServiceName(name), magnoliashore.ZoneName(zone), "127.0.0.1:1"))
		}
		specs = append(specs, fmt.Sprintf("%s:%sa,%sb", name, name, name))
	}
	layout := magnoliashore.NewLayout(magnoliashore.LayoutSpec{
		Targets:   targets,
		Snapshots: []magnoliashore.Snapshot{snapshot(1, "wide", specs...)},
	})
	return magnoliashore.NewView(magnoliashore.NewTable(1, services, nil), layout, magnoliashore.HostList{})
}

// list converts strings to a string type.
func list[T ~string](names []string) []T {
	typed := make([]T, len(names))
	for i, name := range names {
		typed[i] = T(name)
	}
	return typed
}
