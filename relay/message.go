// Package relay sends batches of shards from one host to another. The
// coordinator of a query has a host of another availability zone query the
// shards that have replicas there, and receives their partial results merged.
// Messages are CBOR over WebSocket.
package relay

import (
	"net/http"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
)

// Request asks another host to query a batch of shards. Its durations start
// when it arrives.
type Request struct {
	ID           string // the caller's ID of the request
	Method       string
	URI          string
	Host         string
	Header       http.Header
	Body         []byte
	Kind         string // groups requests that take about the same time
	Priority     int    // lower is more urgent; zero is the most urgent
	Timeout      time.Duration
	HedgeAfter   time.Duration               // when to query another replica of a shard that has not answered
	PartialAfter time.Duration               // when to return the partial results received so far
	MaxAttempts  int                         // most attempts for one shard
	TopK         int                         // most records in a result
	Shards       []magnoliashore.ServiceName // the service to query for each shard
	Observations []balance.Observation       // what the sender knows about their targets
}

// Result holds the merged partial results of some shards of a batch. A batch
// is answered with one or more results, which have no shard in common.
type Result struct {
	Shards        []int // indexes in Request.Shards
	Signatures    []string
	Records       []byte
	Unsent        []int                 // indexes of shards that were not requested from any target; set in the last result
	MayHaveRun    bool                  // an attempt at another shard without a partial result may have run
	Last          bool                  // no further result follows
	MedianLatency time.Duration         // time until half of the shards had answered
	Refused       int                   // attempts refused for lack of capacity
	Observations  []balance.Observation // what the sender knows about the targets of the batch; set in the first result
}
