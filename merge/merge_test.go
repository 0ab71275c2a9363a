package merge_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/merge"
	"github.com/magnoliashore/magnoliashore/plan"
)

// makePlan returns the plan of a query on snapshot 2 of a group with n partitions
// p0, p1, …, each of a service of its own. p0 has replicas in the zones c and a,
// the others in b and a. Zone c is out of service, and so is a if zoneAOut is
// set.
func makePlan(n int, atMostOnce, zoneAOut bool) (plan.Plan, magnoliashore.View) {
	services := make([]magnoliashore.Service, n)
	targets := make([]magnoliashore.Target, 0, 3*n)
	partitions := make([]magnoliashore.Partition, n)
	for i := range n {
		service := magnoliashore.ServiceName(fmt.Sprintf("p%d", i))
		services[i] = magnoliashore.NewService(magnoliashore.ServiceSpec{Name: service, Group: "g", Deadline: time.Second})
		zones := []magnoliashore.ZoneName{"b", "a"}
		switch i {
		case 0:
			zones[0] = "c"
		case 1:
			zones = append(zones, "a") // a second replica in a zone must not be counted again
		}
		ids := make([]magnoliashore.TargetID, len(zones))
		for k, zone := range zones {
			ids[k] = magnoliashore.TargetID(fmt.Sprint(service, zone, k))
			targets = append(targets, magnoliashore.NewTarget(ids[k], service, zone, "127.0.0.1:1"))
		}
		partitions[i] = magnoliashore.NewPartition(magnoliashore.PartitionID(service), service, ids)
	}
	view := magnoliashore.NewView(
		magnoliashore.NewTable(1, services, []magnoliashore.Zone{magnoliashore.NewZone("c", true), magnoliashore.NewZone("a", zoneAOut)}),
		magnoliashore.NewLayout(magnoliashore.LayoutSpec{
			Targets:   targets,
			Snapshots: []magnoliashore.Snapshot{magnoliashore.NewSnapshot(2, "g", partitions)},
		}),
		magnoliashore.HostList{},
	)
	p, fault := plan.Make(view, magnoliashore.NewQuery(magnoliashore.QuerySpec{Group: "g", Once: atMostOnce}))
	if fault != nil {
		panic(fault)
	}
	return p, view
}

// sub returns a sub-answer for a partition, written as "name@1" or "name@2" for
// snapshot 1 or 2. The text "-" stands for an empty reason or body.
func sub(partition string, outcome, reason, body string) magnoliashore.SubAnswer {
	name, snapshot, _ := strings.Cut(partition, "@")
	spec := magnoliashore.SubAnswerSpec{
		Partition: magnoliashore.PartitionID(name), Target: "t", Snapshot: 2,
		Outcome: magnoliashore.ParseOutcome(outcome), Reason: magnoliashore.Reason(strings.Trim(reason, "-")),
	}
	if body != "-" {
		spec.Body = []byte(body)
	}
	if snapshot == "1" {
		spec.Snapshot = 1
	}
	return magnoliashore.NewSubAnswer(spec)
}

// script executes the commands of testdata/script.txt.
type script struct{ m *merge.Merger }

// do executes one command and returns its output.
func (s *script) do(f []string) string {
	switch f[0] {
	case "new":
		mode := magnoliashore.MergeAll()
		if f[2] == "best" {
			mode = magnoliashore.MergeBest(4)
		}
		p, view := makePlan(int(f[1][0]-'0'), f[2] == "once", len(f) > 3)
		s.m = merge.New(p, view, mode)
	case "add":
		if r := s.m.Add(sub(f[1], f[2], f[3], f[4])); r != magnoliashore.ReasonNone {
			return string(r)
		}
		return "merged"
	case "miss":
		s.m.MarkMissing(magnoliashore.PartitionID(f[1]), magnoliashore.Reason(f[2]))
	case "covered":
		return fmt.Sprint(s.m.Covered(magnoliashore.PartitionID(f[1])))
	case "complete":
		return fmt.Sprint(s.m.Complete(), s.m.Coverage().Complete())
	case "outcome":
		return s.m.Outcome().String()
	default:
		return s.list(f[0])
	}
	return ""
}

// list formats a list of the merger's results.
func (s *script) list(what string) string {
	var words []string
	switch what {
	case "parts":
		for _, p := range s.m.Parts() {
			words = append(words, fmt.Sprintf("%s=%s", p.Partition(), p.Body()))
		}
	case "items":
		for _, i := range s.m.Items() {
			words = append(words, fmt.Sprintf("%s%s:%v", i.Partition(), i.Body(), i.Score()))
		}
	case "coverage":
		c := s.m.Coverage()
		words = append(words, fmt.Sprintf("%d/%d", c.Covered(), c.Total()))
		for _, m := range c.Missing() {
			words = append(words, fmt.Sprintf("%s!%s", m.Partition(), m.Reason()))
		}
		for _, z := range c.Zones() {
			words = append(words, fmt.Sprintf("%s=%d/%d", z.Zone(), z.Covered(), z.Total()))
		}
	default:
		return "unknown command"
	}
	return strings.Join(words, " ")
}

func TestScript(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/script.txt")
	if err != nil {
		t.Fatal(err)
	}
	var s script
	var got string
	checks := 0
	for i, line := range strings.Split(string(text), "\n") {
		want, check := strings.CutPrefix(line, ">")
		if !check {
			if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
				got = s.do(f)
			}
			continue
		}
		checks++
		if want = strings.TrimSpace(want); got != want {
			t.Errorf("line %d: got %q, want %q", i+1, got, want)
		}
	}
	if want := 101; checks != want {
		t.Errorf("checks: got %d, want %d", checks, want)
	}
}

// TestTopKEqualsSort adds random partial results in random order. The items must
// equal the first ones of all items in sorted order.
func TestTopKEqualsSort(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		n := 1 + random.IntN(12)
		p, view := makePlan(5, false, false)
		m := merge.New(p, view, magnoliashore.MergeBest(n))
		all := make([]string, 0, 50) // names that sort like the items: inverted score 0 to 9, partition, position
		for _, i := range random.Perm(5) {
			rows := make([]map[string]any, random.IntN(10))
			for k := range rows {
				score := random.IntN(10)
				name := fmt.Sprintf("%d p%d %d", 9-score, i, k)
				rows[k] = map[string]any{"score": score, "item": name}
				all = append(all, name)
			}
			body, _ := json.Marshal(rows)
			m.Add(sub(fmt.Sprintf("p%d", i), "ran", "", string(body)))
		}
		slices.Sort(all)
		want := all[:min(n, len(all))]
		got := make([]string, 0, n)
		for _, item := range m.Items() {
			got = append(got, strings.Trim(string(item.Body()), `"`))
		}
		if !slices.Equal(got, want) {
			t.Fatalf("top %d: got %q, want %q", n, got, want)
		}
	}
}

func ExampleMerger() {
	p, view := makePlan(2, false, false)
	m := merge.New(p, view, magnoliashore.MergeBest(1))
	m.Add(sub("p0", "ran", "", `[{"score":1.5,"item":{"page":3}}]`))
	m.Add(sub("p1", "notrun", "shed", ""))
	for _, item := range m.Items() {
		fmt.Println(item.Score(), string(item.Body()))
	}
	c := m.Coverage()
	fmt.Println(m.Outcome(), c.Covered(), c.Total(), c.Missing()[0].Partition(), c.Missing()[0].Reason())
	// Output:
	// 1.5 {"page":3}
	// ran 1 2 p1 shed
}

func BenchmarkMerge(b *testing.B) {
	const body = `[{"score":3,"item":{"page":1}},{"score":2,"item":{"page":2}},{"score":1,"item":{"page":3}}]`
	for _, n := range []int{20, 120} {
		p, view := makePlan(n, false, false)
		for _, mode := range []magnoliashore.Merge{magnoliashore.MergeAll(), magnoliashore.MergeBest(10)} {
			b.Run(fmt.Sprintf("partitions%d/best%d", n, mode.Best()), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					m := merge.New(p, view, mode)
					for _, partition := range p.Partitions() {
						m.Add(sub(string(partition.PartitionID()), "ran", "", body))
					}
					_, _, _ = m.Coverage(), m.Parts(), m.Items()
				}
			})
		}
	}
}
