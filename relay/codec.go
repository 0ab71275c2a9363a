package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
)

// Kinds of frames.
const (
	kindRequest = 1
	kindResult  = 2
	kindCancel  = 3
)

// maxFrameSize is the limit for a received frame in bytes.
const maxFrameSize = 8 << 20

// wireFrame is a message between hosts. It and its parts are encoded as arrays,
// so the order of their fields is part of the protocol.
type wireFrame struct {
	_       struct{} `cbor:",toarray"`
	Kind    int
	Number  uint64 // identifies the request that a result or cancellation belongs to
	Request *wireRequest
	Result  *wireResult
}

type wireRequest struct {
	_            struct{} `cbor:",toarray"`
	ID           string
	Method       string
	URI          string
	Host         string
	Header       map[string][]string
	Body         []byte
	Kind         string
	Priority     int
	Timeout      int64 // microseconds, like the other durations
	Hedge        int64
	PartialAfter int64
	Attempts     int
	TopK         int
	Shards       []string
	Observations []wireObservation
}

type wireResult struct {
	_             struct{} `cbor:",toarray"`
	Shards        []int
	Signatures    []string
	Records       []byte
	Unsent        []int
	MayHaveRun    bool
	Last          bool
	MedianLatency int64 // microseconds
	Refused       int
	Observations  []wireObservation
}

type wireObservation struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Slowness    float32
	FailureRate float32
	Age         int64 // microseconds
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
	valid := f.Kind == kindCancel || (f.Kind == kindRequest && f.Request != nil) || (f.Kind == kindResult && f.Result != nil)
	if !valid {
		return wireFrame{}, errors.Newf("invalid relay frame of kind %d", f.Kind)
	}
	return f, nil
}

func encodeRequest(r Request) *wireRequest {
	shards := make([]string, len(r.Shards))
	for i, s := range r.Shards {
		shards[i] = string(s)
	}
	return &wireRequest{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Kind: r.Kind, Priority: r.Priority, Timeout: r.Timeout.Microseconds(), Hedge: r.HedgeAfter.Microseconds(),
		PartialAfter: r.PartialAfter.Microseconds(), Attempts: r.MaxAttempts, TopK: r.TopK, Shards: shards,
		Observations: encodeObservations(r.Observations),
	}
}

func decodeRequest(w *wireRequest) Request {
	shards := make([]magnoliashore.ServiceName, len(w.Shards))
	for i, s := range w.Shards {
		shards[i] = magnoliashore.ServiceName(s)
	}
	return Request{
		ID: w.ID, Method: w.Method, URI: w.URI, Host: w.Host, Header: http.Header(w.Header), Body: w.Body,
		Kind: w.Kind, Priority: w.Priority, Timeout: fromMicros(w.Timeout), HedgeAfter: fromMicros(w.Hedge),
		PartialAfter: fromMicros(w.PartialAfter), MaxAttempts: w.Attempts, TopK: w.TopK, Shards: shards,
		Observations: decodeObservations(w.Observations),
	}
}

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func encodeResult(r Result) *wireResult {
	return &wireResult{
		Shards: r.Shards, Signatures: r.Signatures, Records: r.Records, Unsent: r.Unsent, MayHaveRun: r.MayHaveRun, Last: r.Last,
		MedianLatency: r.MedianLatency.Microseconds(), Refused: r.Refused,
		Observations: encodeObservations(r.Observations),
	}
}

// decodeResult decodes a result for a batch of size shards. It fails if a shard
// index is out of range.
func decodeResult(w *wireResult, size int) (Result, error) {
	if len(w.Shards) != len(w.Signatures) {
		return Result{}, errors.Newf("result has %d shards and %d signatures", len(w.Shards), len(w.Signatures))
	}
	for _, list := range [][]int{w.Shards, w.Unsent} {
		for _, i := range list {
			if i < 0 || i >= size {
				return Result{}, errors.Newf("shard index %d is out of range in a batch of %d shards", i, size)
			}
		}
	}
	return Result{
		Shards: w.Shards, Signatures: w.Signatures, Records: w.Records, Unsent: w.Unsent, MayHaveRun: w.MayHaveRun, Last: w.Last,
		MedianLatency: fromMicros(w.MedianLatency), Refused: w.Refused,
		Observations: decodeObservations(w.Observations),
	}, nil
}

func encodeObservations(list []balance.Observation) []wireObservation {
	if len(list) == 0 {
		return nil
	}
	encoded := make([]wireObservation, 0, len(list))
	for _, o := range list {
		encoded = append(encoded, wireObservation{
			Target: string(o.Target), Slowness: float32(o.Slowness), FailureRate: float32(o.FailureRate), Age: o.Age.Microseconds(),
		})
	}
	return encoded
}

func decodeObservations(list []wireObservation) []balance.Observation {
	if len(list) == 0 {
		return nil
	}
	decoded := make([]balance.Observation, 0, len(list))
	for _, w := range list {
		decoded = append(decoded, balance.Observation{
			Target: magnoliashore.TargetID(w.Target), Slowness: float64(w.Slowness), FailureRate: float64(w.FailureRate), Age: fromMicros(w.Age),
		})
	}
	return decoded
}
