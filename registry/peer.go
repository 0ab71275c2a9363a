package registry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/magnoliashore/magnoliashore/tcp"
)

// Path is the URL path at which hosts request items from each other.
const Path = "/registry"

// Parameters of a request for changes.
const (
	queryEra   = "era"
	queryAfter = "after" // revision in the era
	queryHops  = "hops"  // Peer.MaxHops
	queryWait  = "wait"  // whether to wait for a change
)

// peerTimeout is the time after LongPollTime after which a host counts as unreachable.
const peerTimeout = 700 * time.Millisecond

type wireItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

type wireBatch struct {
	_        struct{} `cbor:",toarray"`
	Items    []byte   // an array of wireItem, compressed; empty for none
	Era      uint64
	Revision uint64
	Age      int64 // milliseconds since the last contact with the store
	Hops     int
}

// Peer is a source that reads from another host.
type Peer struct {
	Address string // ip:port
	Client  *http.Client
	// MaxHops is the largest number of hosts that an answer may come through. A
	// host that is farther from the store answers Watch without waiting.
	MaxHops int
}

var _ Source = (*Peer)(nil)

// NewPeerClient returns a client for calls to other hosts. It keeps the connection to
// the host that it reads from, and no others for later: they may be silent by then.
func NewPeerClient() *http.Client {
	dialer := tcp.Dialer(peerTimeout, LongPollTime+peerTimeout)
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadSize,
		IdleConnTimeout: LongPollTime,
	}}
}

// List returns all items that the host has.
func (p *Peer) List(ctx context.Context) (Batch, error) { return p.call(ctx, "") }

// Watch returns the items that changed after a position.
func (p *Peer) Watch(ctx context.Context, after Position, wait bool) (Batch, error) {
	query := url.Values{
		queryEra: {strconv.FormatUint(after.Era, 10)}, queryAfter: {strconv.FormatUint(after.Revision, 10)},
		queryHops: {strconv.Itoa(p.MaxHops)}, queryWait: {strconv.FormatBool(wait)},
	}
	return p.call(ctx, "?"+query.Encode())
}

func (p *Peer) call(ctx context.Context, query string) (Batch, error) {
	data, _, err := Fetch(ctx, p.Client, p.Address, Path+query, LongPollTime+peerTimeout)
	if err != nil {
		return Batch{}, err
	}
	return decodeBatch(data)
}

// batchEncoder encodes batches. Most hosts that read from this one request the
// same items, so it keeps the latest compressed items for reuse.
type batchEncoder struct {
	mu          sync.Mutex
	zstdEncoder *zstd.Encoder
	after       Position // start of the changes in compressed, exclusive
	position    Position // end, inclusive
	compressed  []byte
}

// encode encodes a batch of the items after a position.
func (e *batchEncoder) encode(after Position, b Batch) ([]byte, error) {
	w := wireBatch{
		Era: b.Position.Era, Revision: b.Position.Revision, Age: b.Age.Milliseconds(), Hops: b.Hops,
	}
	if len(b.Items) > 0 {
		var err error
		if w.Items, err = e.compressItems(after, b); err != nil {
			return nil, err
		}
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrap(err, "encoding entries for another host")
}

func (e *batchEncoder) compressItems(after Position, b Batch) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.compressed != nil && e.after == after && e.position == b.Position {
		return e.compressed, nil
	}
	items := make([]wireItem, len(b.Items))
	for i, item := range b.Items {
		items[i] = wireItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
	}
	data, err := cbor.Marshal(items)
	if err != nil {
		return nil, errors.Wrap(err, "encoding entries for another host")
	}
	if e.zstdEncoder == nil {
		e.zstdEncoder, err = zstd.NewWriter(nil,
			zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
		if err != nil {
			return nil, errors.Wrap(err, "creating the compressor for entries")
		}
	}
	e.after, e.position, e.compressed = after, b.Position, e.zstdEncoder.EncodeAll(data, nil)
	return e.compressed, nil
}

// zstdDecoder returns the decoder of the process. It is safe for concurrent use.
var zstdDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxResponseSize))
})

// decompressItems decodes the compressed items of a batch.
func decompressItems(compressed []byte) ([]Item, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	decoder, err := zstdDecoder()
	if err != nil {
		return nil, errors.Wrap(err, "creating the decompressor for entries")
	}
	data, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompressing entries from another host")
	}
	var wire []wireItem
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decoding entries from another host")
	}
	items := make([]Item, len(wire))
	for i, item := range wire {
		items[i] = Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
	}
	return items, nil
}

func decodeBatch(data []byte) (Batch, error) {
	var w wireBatch
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Batch{}, errors.Wrap(err, "decoding a batch of entries from another host")
	}
	items, err := decompressItems(w.Items)
	return Batch{
		Items: items, Position: Position{Era: w.Era, Revision: w.Revision},
		Age: time.Duration(w.Age) * time.Millisecond, Hops: w.Hops,
	}, err
}

// Server serves the items of a reader to other hosts.
type Server struct {
	Reader *Reader

	encoder batchEncoder
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP responds with all items, or with those changed after a position as
// soon as there are any.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, batch, err := s.requestedBatch(r)
	if errors.Is(err, ErrCompacted) {
		w.WriteHeader(http.StatusGone)
		return
	}
	var data []byte
	if err == nil {
		data, err = s.encoder.encode(after, batch)
	}
	if err != nil {
		s.Reader.Log.WithError(err).WithField("peer", r.RemoteAddr).Info("cannot answer another host's request for entries")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Most answers are polls without a change, so they carry no more than they must.
	w.Header()["Content-Type"], w.Header()["Date"] = nil, nil
	_, _ = w.Write(data) // an error means that the host has disconnected
}

// requestedBatch returns the requested batch and the position after which it
// starts; zero for all items.
func (s *Server) requestedBatch(r *http.Request) (Position, Batch, error) {
	query := r.URL.Query()
	if !query.Has(queryAfter) {
		batch, err := s.Reader.all()
		return Position{}, batch, err
	}
	var after Position
	var err error
	if after.Era, err = strconv.ParseUint(query.Get(queryEra), 10, 64); err != nil {
		return Position{}, Batch{}, errors.Wrapf(err, "parsing the era %q", query.Get(queryEra))
	}
	if after.Revision, err = strconv.ParseUint(query.Get(queryAfter), 10, 64); err != nil {
		return Position{}, Batch{}, errors.Wrapf(err, "parsing the revision %q", query.Get(queryAfter))
	}
	hops, err := strconv.Atoi(query.Get(queryHops))
	if err != nil {
		return Position{}, Batch{}, errors.Wrapf(err, "parsing the number of hops %q", query.Get(queryHops))
	}
	wait := LongPollTime
	if query.Get(queryWait) == strconv.FormatBool(false) {
		wait = 0
	}
	batch, err := s.Reader.after(r.Context(), after, hops, wait)
	return after, batch, err
}
