package standin_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/standin"
)

func shapeLayout(shape standin.Shape) magnoliashore.Layout {
	ports := make(map[string]int)
	for i, cfg := range shape.Targets() {
		ports[cfg.ID] = 9001 + i
	}
	seats := []magnoliashore.Seat{magnoliashore.NewSeat("e1", "a", "127.0.0.1:7101", "127.0.0.1:7001")}
	return shape.Layout(func(id string) string { return fmt.Sprintf("127.0.0.1:%d", ports[id]) }, seats)
}

func TestShapeSizes(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		scale    float64
		services int
		targets  int
	}{
		{"kovacic", 1, 52, 118},
		{"kovacic", 0.1, 7, 28},
		{"kovacic", 0.001, 4, 22},
		{"peachtree", 1, 52, 114},
		{"peachtree", 0.5, 27, 64},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s %g", test.name, test.scale), func(t *testing.T) {
			t.Parallel()
			shape, err := standin.NamedShape(test.name, test.scale)
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Count(string(shape.Table()), "\nservice,"); got != test.services {
				t.Errorf("got %d services, want %d", got, test.services)
			}
			if got := len(shape.Targets()); got != test.targets {
				t.Errorf("got %d targets, want %d", got, test.targets)
			}
		})
	}
}

func TestShapeScale(t *testing.T) {
	t.Parallel()
	for _, scale := range []float64{0, -1, 1.5} {
		if _, err := standin.NamedShape("kovacic", scale); err == nil {
			t.Errorf("scale %g: got no error, want one", scale)
		}
	}
	if _, err := standin.NamedShape("atlanta", 1); err == nil {
		t.Error("got no error for an unknown shape, want one")
	}
}

func TestShapeTable(t *testing.T) {
	t.Parallel()
	golden(t, "testdata/kovacic.csv", standin.Kovacic(0.05).Table())
	golden(t, "testdata/peachtree.csv", standin.Peachtree(0.05).Table())
}

// The layout is valid, the replicas of every partition are in different
// availability zones, and every pair of zones occurs.
func TestShapeLayout(t *testing.T) {
	t.Parallel()
	for _, shape := range []standin.Shape{standin.Kovacic(1), standin.Peachtree(1)} {
		layout := shapeLayout(shape)
		if _, err := configservice.EncodeLayout(layout); err != nil {
			t.Fatal(err)
		}
		if got := len(layout.Snapshots()); got != 4 {
			t.Errorf("%s: got %d groups, want 4", shape.Cell(), got)
		}
		pairs := make(map[string]bool)
		for _, snapshot := range layout.Snapshots() {
			for _, p := range snapshot.Partitions() {
				zones := partitionZones(layout, p)
				if len(zones) != 2 || zones[0] == zones[1] {
					t.Errorf("partition %s: got zones %q, want two different ones", p.ID(), zones)
				}
				pairs[min(zones[0], zones[1])+max(zones[0], zones[1])] = true
			}
		}
		if got := len(pairs); got != 6 {
			t.Errorf("%s: got %d pairs of zones, want 6", shape.Cell(), got)
		}
	}
}

func partitionZones(layout magnoliashore.Layout, p magnoliashore.Partition) []string {
	zones := make([]string, 0, len(p.Targets()))
	for _, id := range p.Targets() {
		target, _ := layout.Target(id)
		zones = append(zones, string(target.Zone()))
	}
	return zones
}

func TestTargetsYAML(t *testing.T) {
	t.Parallel()
	want := standin.Kovacic(0.1).Targets()
	data, err := standin.FormatTargets(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := standin.ParseTargets(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestParseTargetsErrors(t *testing.T) {
	t.Parallel()
	tests := map[string]string{
		"targets: [{id: a, color: red}]":    `unknown field "color"`,
		"targets: [{id: a}, {id: a}]":       `targets[1]: id "a" is listed twice`,
		"targets: [{zone: a}]":              "targets[0]: the id is empty",
		"targets: [{id: a, latency: soon}]": "soon",
	}
	for data, want := range tests {
		_, err := standin.ParseTargets([]byte(data))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", data, err, want)
		}
	}
}
