package proof

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/standin"
)

// TestPathOverProcesses checks that one query passes through a cell of separate
// host processes and covers every partition.
func TestPathOverProcesses(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hostCount: 3, relayed: true}).start(t)
	answer, err := c.newClient().Query(t.Context(), client.Request{
		Group: "gallery", Body: []byte("{}"), Deadline: time.Second, Merge: magnoliashore.MergeBest(3),
	})
	if err != nil {
		t.Fatalf("query: got %v, want none", err)
	}
	if got, want := answer.Coverage().Covered(), answer.Coverage().Total(); got != want {
		t.Errorf("covered: got %d, want %d", got, want)
	}
}
