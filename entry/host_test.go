package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/local"
	"github.com/magnoliashore/magnoliashore/standin"
)

// startCell runs the cell until the test ends.
func startCell(t *testing.T, cell *local.Cell) *local.Cell {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	if err := cell.Start(ctx); err != nil {
		t.Fatalf("start: got %v, want none", err)
	}
	t.Cleanup(func() {
		if err := cell.Stop(); err != nil {
			t.Errorf("stop: got %v, want none", err)
		}
	})
	return cell
}

func TestQueryCoversTheGroup(t *testing.T) {
	t.Parallel()
	cell := startCell(t, &local.Cell{Shape: standin.Kovacic(0.2), Hosts: 3})
	caller := cell.Client()
	for range 20 {
		answer, err := caller.Query(t.Context(), client.Request{
			Group: "gallery", Body: []byte("{}"), Deadline: time.Second, Merge: magnoliashore.MergeBest(5),
		})
		if err != nil {
			t.Fatalf("query: got %v, want none", err)
		}
		if got, want := answer.Outcome(), magnoliashore.OutcomeRan; got != want {
			t.Errorf("outcome: got %v (%s: %s), want %v", got, answer.Reason(), answer.Detail(), want)
		}
		if !answer.Coverage().Complete() {
			t.Errorf("coverage: got %d of %d, missing %v", answer.Coverage().Covered(),
				answer.Coverage().Total(), answer.Coverage().Missing())
		}
		if got, want := len(answer.Items()), 5; got != want {
			t.Errorf("items: got %d, want %d", got, want)
		}
	}
}

func TestAtMostOnceQueryRuns(t *testing.T) {
	t.Parallel()
	cell := startCell(t, &local.Cell{Shape: standin.Kovacic(0.2), Hosts: 3})
	answer, err := cell.Client().Query(t.Context(), client.Request{
		Group: "enquiry", Body: []byte("{}"), Deadline: time.Second, AtMostOnce: true,
	})
	if err != nil {
		t.Fatalf("query: got %v, want none", err)
	}
	if got, want := answer.Outcome(), magnoliashore.OutcomeRan; got != want {
		t.Errorf("outcome: got %v (%s: %s), want %v", got, answer.Reason(), answer.Detail(), want)
	}
}
