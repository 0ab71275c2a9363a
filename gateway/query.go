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
	singleHedgeShare  = 0.5 // after which a request at one service is sent again
	scatterHedgeShare = 0.3 // after which a shard is asked again; leaves the second replica as much
	partialLeadShare  = 0.2 // before the objective, at which an answer is given with what is in
)

// query is a request at the services that are to answer it: one, or one for
// each shard.
type query struct {
	request    origin.Request
	received   time.Time
	kind       string // requests of a kind take about the same time
	services   []magnoliashore.ServiceName
	params     scatter.Params
	deadline   time.Time
	topK       int  // records of an answer over shards
	scatter    bool // the answer is made of parts
	useHelpers bool // shards may be asked through other hosts
}

// scatterParams returns what a query on a route is held to if its caller waits for
// patience more.
func scatterParams(route *catalog.Route, timeout time.Duration) scatter.Params {
	terms := scatter.Params{
		Shards: 1, MinShards: 1, Attempts: route.Attempts(), Timeout: timeout, AtMostOnce: !route.Repeatable(),
	}
	if !route.Scatters() {
		terms.Hedge = time.Duration(singleHedgeShare * float64(route.Objective()))
		return terms
	}
	terms.Shards = len(route.Shards())
	terms.MinShards = route.MinShards()
	terms.Hedge = time.Duration(scatterHedgeShare * float64(route.Objective()))
	terms.PartialAfter = partialAfter(route.Objective())
	return terms
}

// partialAfter returns when an answer over shards is given with what is in: so
// long before the objective that it still reaches the caller within it.
func partialAfter(objective time.Duration) time.Duration {
	lead := max(time.Duration(partialLeadShare*float64(objective)), minPartialLead)
	return max(objective-lead, objective/2)
}

// minPartialLead is the least time before the objective at which an answer is given:
// the way of the request and of its answer, and the merge on a host with a
// fifth of a core.
const minPartialLead = 24 * time.Millisecond
