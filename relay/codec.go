package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
)

const (
	kindAsk    = 1
	kindBundle = 2
	kindCancel = 3
)

const maxFrame = 8 << 20 // bytes

type wireFrame struct {
	_      struct{} `cbor:",toarray"`
	Kind   int
	Number uint64 // joins bundles and cancellations to their ask
	Ask    *wireAsk
	Bundle *wireBundle
}

type wireAsk struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Method   string
	URI      string
	Host     string
	Header   map[string][]string
	Body     []byte
	Kind     string
	Rank     int
	Patience int64 // microseconds, as the other durations
	Hedge    int64
	Settle   int64
	Attempts int
	Best     int
	Shards   []string
}

type wireBundle struct {
	_       struct{} `cbor:",toarray"`
	Shards  []int
	Proofs  []string
	Records []byte
	Failed  []int
	Ran     bool
	Last    bool
	Half    int64 // microseconds
	Refused int
}

func encode(f wireFrame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	return data, errors.Wrap(err, "encoding a relay frame")
}

func decode(data []byte) (wireFrame, error) {
	var f wireFrame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return wireFrame{}, errors.Wrap(err, "decoding a relay frame")
	}
	known := f.Kind == kindCancel || (f.Kind == kindAsk && f.Ask != nil) || (f.Kind == kindBundle && f.Bundle != nil)
	if !known {
		return wireFrame{}, errors.Newf("relay frame has the unusable kind %d", f.Kind)
	}
	return f, nil
}

func encodeAsk(a Request) *wireAsk {
	shards := make([]string, len(a.Shards))
	for i, s := range a.Shards {
		shards[i] = string(s)
	}
	return &wireAsk{
		ID: a.ID, Method: a.Method, URI: a.URI, Host: a.Host, Header: a.Header, Body: a.Body,
		Kind: a.Kind, Rank: a.Priority, Patience: a.Timeout.Microseconds(), Hedge: a.Hedge.Microseconds(),
		Settle: a.PartialAfter.Microseconds(), Attempts: a.Attempts, Best: a.TopK, Shards: shards,
	}
}

func decodeAsk(w *wireAsk) Request {
	shards := make([]magnoliashore.ServiceName, len(w.Shards))
	for i, s := range w.Shards {
		shards[i] = magnoliashore.ServiceName(s)
	}
	return Request{
		ID: w.ID, Method: w.Method, URI: w.URI, Host: w.Host, Header: http.Header(w.Header), Body: w.Body,
		Kind: w.Kind, Priority: w.Rank, Timeout: micros(w.Patience), Hedge: micros(w.Hedge),
		PartialAfter: micros(w.Settle), Attempts: w.Attempts, TopK: w.Best, Shards: shards,
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func encodeBundle(b Result) *wireBundle {
	return &wireBundle{
		Shards: b.Shards, Proofs: b.Signatures, Records: b.Records, Failed: b.Failed, Ran: b.MayHaveRun, Last: b.Last,
		Half: b.MedianLatency.Microseconds(), Refused: b.Refused,
	}
}

// decodeBundle checks that the bundle names shards of a batch of size shards.
func decodeBundle(w *wireBundle, size int) (Result, error) {
	if len(w.Shards) != len(w.Proofs) {
		return Result{}, errors.Newf("bundle has %d shards and %d signatures", len(w.Shards), len(w.Proofs))
	}
	for _, list := range [][]int{w.Shards, w.Failed} {
		for _, i := range list {
			if i < 0 || i >= size {
				return Result{}, errors.Newf("bundle names shard %d of a batch of %d", i, size)
			}
		}
	}
	return Result{
		Shards: w.Shards, Signatures: w.Proofs, Records: w.Records, Failed: w.Failed, MayHaveRun: w.Ran, Last: w.Last,
		MedianLatency: micros(w.Half), Refused: w.Refused,
	}, nil
}
