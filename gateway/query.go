package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/suspect"
)

// Shares of a route's objective.
const (
	// Delay of the hedge of a request to one service.
	singleHedgeShare = 0.5
	// Delay of the hedge of a shard. It leaves the second replica as much time.
	scatterHedgeShare = 0.3
	// Time before the objective at which a partial answer is given.
	partialLeadShare = 0.2
)

// query is a request with the services that answer it: a single one, or one for
// each shard.
type query struct {
	request  origin.Request
	received time.Time
	kind     string // groups requests that take about the same time
	services []magnoliashore.ServiceName
	params   scatter.Params
	deadline time.Time
	// streamUntil is when a long answer that is passed on as it arrives is cut off.
	streamUntil time.Time
	topK        int  // most records in the answer of a scatter-gather query
	scatter     bool // the answer is merged from partial results
	useHelpers  bool // other hosts may query shards in batches

	forwarded bool        // another host has passed the request on
	suspected bool        // targets have ended under the same request
	trial     bool        // tries a request again that was refused
	sent      atomic.Bool // an attempt that was sent to a target has ended
	sending   atomic.Bool // an attempt was sent to a target, or the query to another host
	stage     atomic.Int32
	probed    bool         // one of its shards has answered before the others were queried
	first     mergedResult // of that shard
	whole     *query       // the query of which this one is the first shard; nil for others
	// withdrawn is closed if the query must not be sent any more, since this host
	// stops; nil for never.
	withdrawn chan struct{}

	digestOnce sync.Once
	digestSum  suspect.Digest
}

// digest returns the digest of the request. It is made at the first call.
func (q *query) digest(dialect magnoliashore.Dialect) suspect.Digest {
	q.digestOnce.Do(func() {
		r := suspect.Request{
			Method: q.request.Method, Host: q.request.Host, URI: q.request.URI, Body: q.request.Body,
			Identity: dialect.Caller(q.request.Header).Identity,
		}
		if q.request.Stream != nil {
			r.Rest = q.request.Stream.Length()
		}
		q.digestSum = suspect.Sum(r)
	})
	return q.digestSum
}

// scatterParams returns the parameters of a query on a route for a caller that
// waits for timeout.
func scatterParams(route *catalog.Route, timeout time.Duration) scatter.Params {
	params := scatter.Params{
		Shards: 1, MinShards: 1, MaxAttempts: route.MaxAttempts(), Timeout: timeout, AtMostOnce: !route.Repeatable(),
	}
	if !route.Scatters() {
		params.HedgeAfter = time.Duration(singleHedgeShare * float64(route.Objective()))
		return params
	}
	params.Shards = len(route.Shards())
	params.MinShards = route.MinShards()
	params.HedgeAfter = time.Duration(scatterHedgeShare * float64(route.Objective()))
	params.PartialAfter = partialAfter(route.Objective())
	return params
}

// partialAfter returns when a partial answer is given: early enough to reach the
// caller within the objective.
func partialAfter(objective time.Duration) time.Duration {
	lead := max(time.Duration(partialLeadShare*float64(objective)), minPartialLead)
	return max(objective-lead, objective/2)
}

// minPartialLead is the least time between a partial answer and the objective. It
// covers sending the request and the answer, and the merge on a host with a fifth
// of a core.
const minPartialLead = 24 * time.Millisecond
