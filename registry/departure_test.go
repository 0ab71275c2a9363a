package registry_test

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/registry"
)

// depart records that a target of service s has said that it leaves.
func depart(t *testing.T, tbl *registry.Table, now time.Time, id magnoliashore.TargetID) {
	t.Helper()
	view, _ := tbl.View(now)
	target := view.Target(id)
	if target == nil {
		t.Fatalf("got no target %s in the view", id)
	}
	tbl.Depart(now, target)
}

// TestTargetThatDepartedIsUsed guards against requests to a target that has said in an
// answer that it leaves, because its entry is written again as ready, lapses and comes
// back, or is that of a restored store (review case 7).
func TestTargetThatDepartedIsUsed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		then func(tbl *registry.Table)
	}{
		{"the entry stays", func(*registry.Table) {}},
		{"the entry is written again", func(tbl *registry.Table) { tbl.Apply(start, batch(9, item("a1", "target s ready 7 4", 9))) }},
		{"the entry lapses and comes back", func(tbl *registry.Table) {
			tbl.Apply(start, batch(9, removal("a1", 9)))
			tbl.Apply(start, batch(10, item("a1", "target s ready 7 5", 10)))
		}},
		{"the store is restored", func(tbl *registry.Table) {
			tbl.Replace(start, in(1, 3, item("a1", "target s ready 7 3", 2), item("b1", "target s ready 7 3", 3)))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tbl := newTable()
			tbl.Apply(start, batch(8, item("a1", "target s ready 7 3", 7), item("b1", "target s ready 7 3", 8)))
			depart(t, tbl, start, "a1")
			test.then(tbl)
			wantTargets(t, tbl, start, "b1")
			wantTargets(t, tbl, start.Add(time.Hour), "b1")
		})
	}
}

// TestLastTargetThatDeparts checks that a target without alternative is used for the
// grace period after it has said that it leaves, and that the view changes at its end.
func TestLastTargetThatDeparts(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(8, item("a1", "target s ready 7 3", 7), item("b1", "target s ready 7 3", 8)))
	depart(t, tbl, start, "a1")
	later := start.Add(gracePeriod / 2)
	depart(t, tbl, later, "b1")
	wantTargets(t, tbl, later, "a1", "b1")
	if _, next := tbl.View(later); !next.Equal(start.Add(gracePeriod)) {
		t.Errorf("got next change at %v, want %v", next, start.Add(gracePeriod))
	}
	wantTargets(t, tbl, start.Add(gracePeriod), "b1")
	wantTargets(t, tbl, later.Add(gracePeriod))
}

// TestAnotherProcessHasNotDeparted checks that a departure ends with its process, and that
// a late answer of a former process says nothing about its successor.
func TestAnotherProcessHasNotDeparted(t *testing.T) {
	t.Parallel()
	tbl := newTable()
	tbl.Apply(start, batch(7, item("a1", "target s ready 7 3", 7)))
	view, _ := tbl.View(start)
	former := view.Target("a1")
	tbl.Depart(start, former)
	tbl.Apply(start, batch(9, item("a1", "target s ready 8 1", 9)))
	wantTargets(t, tbl, start.Add(gracePeriod), "a1")
	tbl.Depart(start, former)
	wantTargets(t, tbl, start.Add(gracePeriod), "a1")
	// Without the start of its process, a number of reports that begins anew shows it.
	tbl.Apply(start, batch(10, item("b1", "target s ready 0 5", 10)))
	depart(t, tbl, start, "b1")
	wantTargets(t, tbl, start.Add(gracePeriod), "a1")
	tbl.Apply(start, batch(11, item("b1", "target s ready 0 1", 11)))
	wantTargets(t, tbl, start.Add(gracePeriod), "a1", "b1")
}
