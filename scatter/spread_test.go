package scatter_test

import (
	"testing"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/scatter"
)

func shardRange(from, to int) []int {
	var out []int
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// checkShards checks that each of want shards is queried exactly once.
func checkShards(t *testing.T, r scatter.Routing, want int) {
	t.Helper()
	seen := make(map[int]bool)
	lists := make([][]int, 0, 1+len(r.Batches))
	lists = append(lists, r.Direct)
	for _, b := range r.Batches {
		lists = append(lists, b.Shards)
	}
	for _, list := range lists {
		for _, i := range list {
			if seen[i] {
				t.Errorf("shard %d is queried twice, want once", i)
			}
			seen[i] = true
		}
	}
	if len(seen) != want {
		t.Errorf("got %d shards, want %d", len(seen), want)
	}
}

// TestSpreadByCapacity has 90 shards in the zone of a coordinator with capacity
// for 20: other hosts of the zone take the rest by their capacity.
func TestSpreadByCapacity(t *testing.T) {
	t.Parallel()
	helpers := map[magnoliashore.ZoneName][]scatter.Helper{"a": {{Peer: "weak", Capacity: 20}, {Peer: "strong", Capacity: 80}, {Peer: "spare", Capacity: 20}}}
	got := scatter.Spread(scatter.Routing{Direct: shardRange(0, 90)}, "a", 20, helpers)
	checkShards(t, got, 90)
	if len(got.Direct) != 20 || len(got.Batches) != 2 {
		t.Fatalf("got %d direct shards and %d batches, want 20 and 2", len(got.Direct), len(got.Batches))
	}
	if b := got.Batches[0]; b.Peer != "weak" || len(b.Shards) != 20 {
		t.Errorf("got first batch of %d shards for %s, want 20 for weak", len(b.Shards), b.Peer)
	}
	if b := got.Batches[1]; b.Peer != "strong" || len(b.Shards) != 50 {
		t.Errorf("got second batch of %d shards for %s, want 50 for strong", len(b.Shards), b.Peer)
	}
}

func TestSpreadSplitsRemoteBatches(t *testing.T) {
	t.Parallel()
	helpers := map[magnoliashore.ZoneName][]scatter.Helper{"b": {{Peer: "1", Capacity: 20}, {Peer: "2", Capacity: 20}}}
	routing := scatter.Routing{Batches: []scatter.Batch{{Zone: "b", Shards: shardRange(0, 90)}}}
	got := scatter.Spread(routing, "a", 20, helpers)
	checkShards(t, got, 90)
	if len(got.Batches) != 2 || len(got.Batches[0].Shards) != 45 {
		t.Errorf("got %+v, want two batches of 45: both hosts lack capacity", got.Batches)
	}
}

func TestSpreadKeepsSmallQueriesUnsplit(t *testing.T) {
	t.Parallel()
	helpers := map[magnoliashore.ZoneName][]scatter.Helper{"a": {{Peer: "1", Capacity: 40}}, "b": {{Peer: "2", Capacity: 40}}}
	routing := scatter.Routing{Direct: shardRange(0, 10), Batches: []scatter.Batch{{Zone: "b", Shards: shardRange(10, 20)}}}
	got := scatter.Spread(routing, "a", 40, helpers)
	checkShards(t, got, 20)
	if len(got.Direct) != 10 || len(got.Batches) != 1 || got.Batches[0].Peer != "2" {
		t.Errorf("got %+v, want the same routing with a host for the batch", got)
	}
}

func TestSpreadWithoutHelpers(t *testing.T) {
	t.Parallel()
	routing := scatter.Routing{Direct: shardRange(0, 90), Batches: []scatter.Batch{{Zone: "b", Shards: shardRange(90, 95)}}}
	got := scatter.Spread(routing, "a", 20, nil)
	checkShards(t, got, 95)
	if len(got.Direct) != 95 {
		t.Errorf("got %d direct shards, want all of them", len(got.Direct))
	}
}

// TestDirectShardsOverwriteABatch guards against shards that are appended to the direct
// ones, since their batch could not be sent, and take the place of those in a batch that
// was.
func TestDirectShardsOverwriteABatch(t *testing.T) {
	t.Parallel()
	helpers := map[magnoliashore.ZoneName][]scatter.Helper{"a": {{Peer: "p", Capacity: 10}}}
	r := scatter.Spread(scatter.Routing{Direct: shardRange(0, 12)}, "a", 5, helpers)
	if len(r.Batches) != 1 {
		t.Fatalf("got %d batches, want 1", len(r.Batches))
	}
	r.Direct = append(r.Direct, 20, 21)
	if got, want := r.Batches[0].Shards[0], 5; got != want {
		t.Errorf("got shard %d in the batch, want %d", got, want)
	}
}
