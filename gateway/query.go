package gateway

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// Shares of a route's objective.
const (
	singleHedge  = 0.5 // after which a request at one service is sent again
	scatterHedge = 0.3 // after which a shard is asked again; leaves the second replica as much
	settleLead   = 0.2 // before the objective, at which an answer is given with what is in
)

// query is a request at the services that are to answer it: one, or one for
// each shard.
type query struct {
	request  origin.Request
	began    time.Time
	kind     string // requests of a kind take about the same time
	services []magnoliashore.ServiceName
	terms    scatter.Params
	deadline time.Time
	best     int  // records of an answer over shards
	scatters bool // the answer is made of parts
	delegate bool // shards may be asked through other hosts
}

// termsOf returns what a query on a route is held to if its caller waits for
// patience more.
func termsOf(route *catalog.Route, patience time.Duration) scatter.Params {
	terms := scatter.Params{
		Shards: 1, MinShards: 1, Attempts: route.Attempts(), Timeout: patience, AtMostOnce: !route.Repeatable(),
	}
	if !route.Scatters() {
		terms.Hedge = time.Duration(singleHedge * float64(route.Objective()))
		return terms
	}
	terms.Shards = len(route.Shards())
	terms.MinShards = route.MinShards()
	terms.Hedge = time.Duration(scatterHedge * float64(route.Objective()))
	terms.PartialAfter = settleTime(route.Objective())
	return terms
}

// settleTime returns when an answer over shards is given with what is in: so
// long before the objective that it still reaches the caller within it.
func settleTime(objective time.Duration) time.Duration {
	lead := max(time.Duration(settleLead*float64(objective)), wayBack)
	return max(objective-lead, objective/2)
}

// wayBack is the least time before the objective at which an answer is given:
// the way of the request and of its answer, and the merge on a host with a
// fifth of a core.
const wayBack = 24 * time.Millisecond
