package standin

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

const (
	firstSnapshot = 1
	replicas      = 2 // targets per partition

	stragglerProbability = 0.01
	stragglerLatency     = 60 * time.Millisecond
	warmAfter            = 20 // completed requests until a target is warm
)

// Shape describes the cell of one user: its zones, services and targets at a
// given scale.
type Shape struct {
	cell   string
	zones  []string
	blocks []serviceBlock
}

// serviceBlock configures the identical services of one group.
type serviceBlock struct {
	group      string
	prefix     string // prefix of the service names
	services   int
	partitions int // partitions per service, each with its own two targets
	class      string
	weight     int
	deadline   time.Duration
	slots      int
	conns      int
	cold       int
	connCost   time.Duration
	latency    time.Duration
	queue      int
	coverage   float64
}

// Kovacic returns the shape of Kovačič Portfolio Hiša. scale, above 0 and at
// most 1, reduces the number of services of the gallery and upload groups.
func Kovacic(scale float64) Shape {
	gallery := serviceBlock{
		group: "gallery", prefix: "look", services: scaled(20, scale), partitions: 1,
		class: "urgent", weight: 100, deadline: 86 * time.Millisecond,
		slots: 3, conns: 30, cold: 1, connCost: 6 * time.Millisecond, latency: 8 * time.Millisecond,
		queue: 32, coverage: 0.5,
	}
	upload := gallery
	upload.group, upload.prefix, upload.services = "upload", "upload", scaled(30, scale)
	upload.class, upload.deadline = "normal", 400*time.Millisecond
	archive := serviceBlock{
		group: "archive", prefix: "archive", services: 1, partitions: 6,
		class: "background", weight: 10, deadline: 2 * time.Second,
		slots: 4, conns: 100, cold: 2, connCost: time.Millisecond, latency: 8 * time.Millisecond,
		queue: 64, coverage: 0.5,
	}
	enquiry := archive
	enquiry.group, enquiry.prefix, enquiry.partitions = "enquiry", "enquiry", 3
	enquiry.class, enquiry.weight, enquiry.deadline = "urgent", 100, 86*time.Millisecond
	return Shape{
		cell:   "ljubljana",
		zones:  []string{"a", "b", "c", "d"},
		blocks: []serviceBlock{gallery, upload, archive, enquiry},
	}
}

// Peachtree returns the shape of Peachtree Cold Aisle Cooperative. scale,
// above 0 and at most 1, reduces the number of services of the trend and
// portal groups.
func Peachtree(scale float64) Shape {
	trend := serviceBlock{
		group: "trend", prefix: "trend", services: scaled(20, scale), partitions: 1,
		class: "urgent", weight: 100, deadline: 86 * time.Millisecond,
		slots: 2, conns: 25, cold: 1, connCost: 6 * time.Millisecond, latency: 8 * time.Millisecond,
		queue: 32, coverage: 0.5,
	}
	portal := trend
	portal.group, portal.prefix, portal.services = "portal", "portal", scaled(30, scale)
	portal.class, portal.deadline = "normal", 400*time.Millisecond
	billing := serviceBlock{
		group: "billing", prefix: "billing", services: 1, partitions: 5,
		class: "normal", weight: 50, deadline: 400 * time.Millisecond,
		slots: 4, conns: 45, cold: 2, connCost: time.Millisecond, latency: 8 * time.Millisecond,
		queue: 64, coverage: 0.5,
	}
	audit := billing
	audit.group, audit.prefix, audit.partitions = "audit", "audit", 2
	audit.class, audit.weight, audit.deadline = "background", 10, 2*time.Second
	return Shape{
		cell:   "georgia",
		zones:  []string{"a", "b", "c", "d"},
		blocks: []serviceBlock{trend, portal, billing, audit},
	}
}

// Cell returns the name of the cell.
func (s Shape) Cell() string { return s.cell }

// Zones returns the names of the availability zones.
func (s Shape) Zones() []string { return s.zones }

// Table returns the operators' table as CSV, with every zone in service.
func (s Shape) Table() []byte {
	var table strings.Builder
	table.WriteString("row,name,group,class,weight,zones,deadline,slots,conns,cold,hedge,retry,queue,coverage,state\n")
	for _, b := range s.blocks {
		for _, name := range b.serviceNames() {
			fmt.Fprintf(&table, "service,%s,%s,%s,%d,,%s,%d,%d,%d,yes,yes,%d,%g,on\n",
				name, b.group, b.class, b.weight, b.deadline, b.slots, b.conns, b.cold, b.queue, b.coverage)
		}
	}
	for _, zone := range s.zones {
		fmt.Fprintf(&table, "zone,%s,,,,,,,,,,,,,in\n", zone)
	}
	return []byte(table.String())
}

// Targets returns the configuration of every target, without addresses.
func (s Shape) Targets() []TargetConfig {
	var list []TargetConfig
	s.forEachPartition(func(b serviceBlock, service, partition string, ids, zones []string) {
		for i, id := range ids {
			list = append(list, b.targetConfig(id, zones[i], service, partition, uint64(len(list))+1))
		}
	})
	return list
}

// Layout returns the layout of the cell with snapshot 1 of every group;
// addresses maps a target ID to its "ip:port" address.
func (s Shape) Layout(addresses func(id string) string, seats []magnoliashore.Seat) magnoliashore.Layout {
	spec := magnoliashore.LayoutSpec{Cell: s.cell, Seats: seats}
	partitions := make(map[string][]magnoliashore.Partition, len(s.blocks))
	s.forEachPartition(func(b serviceBlock, service, partition string, ids, zones []string) {
		names := make([]magnoliashore.TargetID, 0, len(ids))
		for i, id := range ids {
			names = append(names, magnoliashore.TargetID(id))
			spec.Targets = append(spec.Targets, magnoliashore.NewTarget(magnoliashore.TargetID(id),
				magnoliashore.ServiceName(service), magnoliashore.ZoneName(zones[i]), addresses(id)))
		}
		partitions[b.group] = append(partitions[b.group], magnoliashore.NewPartition(
			magnoliashore.PartitionID(partition), magnoliashore.ServiceName(service), names))
	})
	for _, b := range s.blocks {
		spec.Snapshots = append(spec.Snapshots, magnoliashore.NewSnapshot(
			firstSnapshot, magnoliashore.GroupName(b.group), partitions[b.group]))
	}
	return magnoliashore.NewLayout(spec)
}

// forEachPartition calls visit for every partition with the IDs and zones of its
// targets.
func (s Shape) forEachPartition(visit func(b serviceBlock, service, partition string, ids, zones []string)) {
	var index int
	for _, b := range s.blocks {
		for _, service := range b.serviceNames() {
			for i := range b.partitions {
				partition := service
				if b.partitions > 1 {
					partition = fmt.Sprintf("%s-%d", service, i+1)
				}
				ids, zones := s.placeReplicas(partition, index)
				visit(b, service, partition, ids, zones)
				index++
			}
		}
	}
}

// placeReplicas returns the IDs and zones of the targets of a partition, which
// are in different zones. The distance between the two zones varies, so that
// every pair of zones occurs.
func (s Shape) placeReplicas(partition string, index int) (ids, zones []string) {
	distance := 1 + index/len(s.zones)%(len(s.zones)-1)
	for i := range replicas {
		zone := s.zones[(index+i*distance)%len(s.zones)]
		ids = append(ids, partition+zone)
		zones = append(zones, zone)
	}
	return ids, zones
}

// serviceNames returns the names of the services in the block.
func (b serviceBlock) serviceNames() []string {
	if b.services == 1 && b.partitions > 1 {
		return []string{b.prefix}
	}
	names := make([]string, 0, b.services)
	for i := range b.services {
		names = append(names, fmt.Sprintf("%s%02d", b.prefix, i+1))
	}
	return names
}

func (b serviceBlock) targetConfig(id, zone, service, partition string, seed uint64) TargetConfig {
	return TargetConfig{
		ID: id, Zone: zone, Service: service,
		Slots: b.slots, ColdSlots: b.cold, MaxConns: b.conns, ConnDelay: b.connCost,
		Latency: b.latency, StragglerProbability: stragglerProbability, StragglerLatency: stragglerLatency,
		WarmAfter: warmAfter, Seed: seed,
		Snapshots: []uint64{firstSnapshot}, Partitions: []string{partition}, MaxWaiting: b.slots,
	}
}

// scaled returns n times scale, rounded, and at least 1.
func scaled(n int, scale float64) int {
	return max(1, int(math.Round(float64(n)*scale)))
}

// NamedShape returns the shape named "kovacic" or "peachtree". scale must be
// above 0 and at most 1.
func NamedShape(name string, scale float64) (Shape, error) {
	if scale <= 0 || scale > 1 {
		return Shape{}, errors.Newf("scale is %g, want above 0 and at most 1", scale)
	}
	switch name {
	case "kovacic":
		return Kovacic(scale), nil
	case "peachtree":
		return Peachtree(scale), nil
	default:
		return Shape{}, errors.Newf("shape %q does not exist, want kovacic or peachtree", name)
	}
}
