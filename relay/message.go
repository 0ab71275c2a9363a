// Package relay carries batches of shards between hosts: the root of a query
// asks a host of another availability zone to query the shards with replicas
// there, and gets their parts merged. It speaks CBOR over WebSocket.
package relay

import (
	"net/http"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Request is a batch of shards of one query. Durations count from its arrival.
type Request struct {
	ID           string // of the caller's attempt
	Method       string
	URI          string
	Host         string
	Header       http.Header
	Body         []byte
	Kind         string // requests of a kind take about the same time
	Priority     int    // zero is the most urgent
	Timeout      time.Duration
	Hedge        time.Duration
	PartialAfter time.Duration // when the parts that are in are to be sent back
	Attempts     int
	TopK         int // records of a bundle
	Shards       []magnoliashore.ServiceName
}

// Result is the merged answer of some shards of a batch. A batch is answered
// with one result, or with several that have no shard in common.
type Result struct {
	Shards        []int // indexes in Request.Shards
	Signatures    []string
	Records       []byte
	Failed        []int         // shards that will give no part
	MayHaveRun    bool          // an attempt at a failed shard may have run
	Last          bool          // nothing follows
	MedianLatency time.Duration // after which half of the shards of the batch were in
	Refused       int           // attempts that were refused for want of room
}
