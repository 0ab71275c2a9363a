package plan_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/plan"
)

func service(name, group string, class magnoliashore.Class, deadline time.Duration, off bool) magnoliashore.Service {
	return magnoliashore.NewService(magnoliashore.ServiceSpec{
		Name: magnoliashore.ServiceName(name), Group: magnoliashore.GroupName(group),
		Class: class, Deadline: deadline, Off: off,
	})
}

// view returns a view with three groups. "gallery" has look1 with replicas in the
// zones a and b, look2 with replicas in b and c, look3 switched off, and late
// without a partition. The only service of "dark" is switched off, and "empty" has
// no snapshot. zonesOut lists availability zones that are out of service, leaving
// lists targets that are leaving.
func view(zonesOut, leaving []string) magnoliashore.View {
	zones := make([]magnoliashore.Zone, 0, len(zonesOut))
	for _, name := range zonesOut {
		zones = append(zones, magnoliashore.NewZone(magnoliashore.ZoneName(name), true))
	}
	table := magnoliashore.NewTable(1, []magnoliashore.Service{
		service("look1", "gallery", magnoliashore.ClassNormal, 80*time.Millisecond, false),
		service("look2", "gallery", magnoliashore.ClassBackground, 50*time.Millisecond, false),
		service("look3", "gallery", magnoliashore.ClassUrgent, time.Millisecond, true),
		service("late", "gallery", magnoliashore.ClassNormal, time.Second, false),
		service("night", "dark", magnoliashore.ClassNormal, time.Second, true),
		service("void", "empty", magnoliashore.ClassNormal, time.Second, false),
	}, zones)
	layout := magnoliashore.NewLayout(magnoliashore.LayoutSpec{
		Targets: []magnoliashore.Target{
			magnoliashore.NewTarget("1a", "look1", "a", "127.0.0.1:1"),
			magnoliashore.NewTarget("1b", "look1", "b", "127.0.0.1:2"),
			magnoliashore.NewTarget("2b", "look2", "b", "127.0.0.1:3"),
			magnoliashore.NewTarget("2c", "look2", "c", "127.0.0.1:4"),
			magnoliashore.NewTarget("3a", "look3", "a", "127.0.0.1:5"),
			magnoliashore.NewTarget("na", "night", "a", "127.0.0.1:6"),
		},
		Snapshots: []magnoliashore.Snapshot{
			snapshot(2, "gallery", "look1:1b,1a", "look2:2b,2c", "look3:3a"),
			snapshot(1, "gallery", "look1:1a"),
			snapshot(5, "dark", "night:na"),
		},
	})
	return magnoliashore.NewView(table, layout, magnoliashore.NewHostList(nil, leaving))
}

func query(group string, services ...magnoliashore.ServiceName) magnoliashore.Query {
	return magnoliashore.NewQuery(magnoliashore.QuerySpec{Group: magnoliashore.GroupName(group), Services: services})
}

// text formats the class, deadline and snapshot of a plan and each partition as
// "partition:targets" or "partition!reason", or else the fault.
func text(p plan.Plan, f *plan.Fault) string {
	if f != nil {
		return f.Error()
	}
	now := time.Unix(100, 0)
	s := fmt.Sprint(p.Class(), " ", p.Deadline(now).Sub(now), " ", p.Snapshot())
	for _, partition := range p.Partitions() {
		if partition.Reason() != magnoliashore.ReasonNone {
			s += fmt.Sprintf(" %s!%s", partition.PartitionID(), partition.Reason())
			continue
		}
		var names []string
		for _, t := range partition.Targets() {
			names = append(names, string(t.ID()))
		}
		s += fmt.Sprintf(" %s:%s", partition.PartitionID(), strings.Join(names, ","))
	}
	return s
}

func TestMake(t *testing.T) {
	t.Parallel()
	file, err := os.ReadFile("testdata/plans.txt")
	if err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(string(file)), "\n")[1:]
	for _, row := range rows {
		f := strings.Split(row, "|")
		q := query(strings.TrimSpace(f[1]), list[magnoliashore.ServiceName](strings.Fields(f[2]))...)
		got := text(plan.Make(view(strings.Fields(f[3]), strings.Fields(f[4])), q))
		if want := strings.TrimSpace(f[5]); got != want {
			t.Errorf("%s: got %s, want %s", f[0], got, want)
		}
	}
	if got, want := len(rows), 15; got != want {
		t.Errorf("rows: got %d, want %d", got, want)
	}
}

func TestStatedDeadline(t *testing.T) {
	t.Parallel()
	want := time.Unix(200, 0)
	p, _ := plan.Make(view(nil, nil), magnoliashore.NewQuery(magnoliashore.QuerySpec{Group: "gallery", Deadline: want}))
	if got := p.Deadline(time.Unix(100, 0)); !got.Equal(want) {
		t.Errorf("deadline: got %v, want %v", got, want)
	}
}

func ExampleMake() {
	p, fault := plan.Make(view([]string{"b"}, nil), query("gallery", "look1", "look2"))
	fmt.Println(fault, p.Snapshot())
	for _, partition := range p.Partitions() {
		fmt.Println(partition.PartitionID(), partition.Targets()[0].ID())
	}
	// Output:
	// <nil> 2
	// look1 1a
	// look2 2c
}

func BenchmarkMake(b *testing.B) {
	for _, n := range []int{20, 120} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := wide(n)
			b.ReportAllocs()
			for b.Loop() {
				if _, f := plan.Make(v, query("wide")); f != nil {
					b.Fatal(f)
				}
			}
		})
	}
}
