package scatter_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/scatter"
)

func replica(zone magnoliashore.ZoneName, cost float64) scatter.Replica {
	return scatter.Replica{Zone: zone, Cost: cost}
}

func plan(replicas [][]scatter.Replica, zones ...magnoliashore.ZoneName) scatter.Routing {
	hosts := make(map[magnoliashore.ZoneName]bool)
	for _, z := range zones {
		hosts[z] = true
	}
	return scatter.Plan("a", replicas, hosts, rand.New(rand.NewPCG(1, 1)))
}

func TestPlanPrefersOwnZone(t *testing.T) {
	t.Parallel()
	got := plan([][]scatter.Replica{
		{replica("a", 1), replica("b", 1)},
		{replica("b", 1), replica("a", 1)},
	}, "b", "c")
	if want := []int{0, 1}; !slices.Equal(got.Direct, want) || len(got.Batches) != 0 {
		t.Errorf("got %+v, want all of %v direct", got, want)
	}
}

func TestPlanGroupsRemoteShardsIntoFewBatches(t *testing.T) {
	t.Parallel()
	got := plan([][]scatter.Replica{
		{replica("b", 1), replica("c", 1)},
		{replica("c", 1), replica("d", 1)},
		{replica("c", 1), replica("b", 1)},
	}, "b", "c", "d")
	if len(got.Batches) != 1 || got.Batches[0].Zone != "c" || len(got.Batches[0].Shards) != 3 {
		t.Errorf("got %+v, want one batch of three shards in zone c", got)
	}
}

// TestPlanAvoidsSlowReplicas has a slow replica in the coordinator's zone: its
// shard goes into the batch for another zone.
func TestPlanAvoidsSlowReplicas(t *testing.T) {
	t.Parallel()
	got := plan([][]scatter.Replica{
		{replica("a", 9), replica("b", 1)},
		{replica("b", 1), replica("c", 1)},
	}, "b", "c")
	if len(got.Batches) != 1 || !slices.Equal(got.Batches[0].Shards, []int{0, 1}) {
		t.Errorf("got %+v, want both shards in one batch", got)
	}
}

func TestPlanWithoutHostIsDirect(t *testing.T) {
	t.Parallel()
	got := plan([][]scatter.Replica{{replica("b", 1)}, {replica("b", 1)}, {}}, "c")
	if want := []int{0, 1, 2}; !slices.Equal(got.Direct, want) {
		t.Errorf("got direct shards %v, want %v", got.Direct, want)
	}
}

func TestPlanSingleShardIsDirect(t *testing.T) {
	t.Parallel()
	got := plan([][]scatter.Replica{{replica("b", 1)}}, "b")
	if len(got.Batches) != 0 || len(got.Direct) != 1 {
		t.Errorf("got %+v, want one direct shard", got)
	}
}
