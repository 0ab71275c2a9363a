package plan_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// snapshot builds a snapshot from parts written as "service:target,target";
// a partition has the name of its service.
func snapshot(id magnoliashore.SnapshotID, group magnoliashore.GroupName, parts ...string) magnoliashore.Snapshot {
	partitions := make([]magnoliashore.Partition, 0, len(parts))
	for _, part := range parts {
		name, names, _ := strings.Cut(part, ":")
		targets := list[magnoliashore.TargetID](strings.Split(names, ","))
		partitions = append(partitions, magnoliashore.NewPartition(magnoliashore.PartitionID(name), magnoliashore.ServiceName(name), targets))
	}
	return magnoliashore.NewSnapshot(id, group, partitions)
}

// wide returns a view of n services with two targets each.
func wide(n int) magnoliashore.View {
	services := make([]magnoliashore.Service, 0, n)
	targets := make([]magnoliashore.Target, 0, 2*n)
	parts := make([]string, 0, n)
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		services = append(services, service(name, "wide", magnoliashore.ClassNormal, time.Second, false))
		for _, zone := range []string{"a", "b"} {
			targets = append(targets, magnoliashore.NewTarget(magnoliashore.TargetID(name+zone), magnoliashore.ServiceName(name), magnoliashore.ZoneName(zone), "127.0.0.1:1"))
		}
		parts = append(parts, fmt.Sprintf("%s:%sa,%sb", name, name, name))
	}
	layout := magnoliashore.NewLayout(magnoliashore.LayoutSpec{
		Targets:   targets,
		Snapshots: []magnoliashore.Snapshot{snapshot(1, "wide", parts...)},
	})
	return magnoliashore.NewView(magnoliashore.NewTable(1, services, nil), layout, magnoliashore.HostList{})
}

// list converts names.
func list[T ~string](names []string) []T {
	typed := make([]T, len(names))
	for i, name := range names {
		typed[i] = T(name)
	}
	return typed
}
