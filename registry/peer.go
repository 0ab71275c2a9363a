package registry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/magnoliashore/magnoliashore/tcp"
)

// Path is the URL path at which hosts ask each other for items.
const Path = "/registry"

const (
	peerWait    = time.Second            // that a host waits for a change before it answers
	peerTimeout = 700 * time.Millisecond // beyond that, after which the host counts as lost
)

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
	Revision uint64
	Age      int64 // milliseconds since the store was last heard
	Hops     int
}

// Peer is another host as a source.
type Peer struct {
	Address string // ip:port
	Client  *http.Client
	// MaxHops is through how many hosts its answers may come. If they come
	// through more, the host answers at once.
	MaxHops int
}

var _ Source = (*Peer)(nil)

// NewPeerClient returns a client for calls to other hosts.
func NewPeerClient() *http.Client {
	dialer := tcp.Dialer(peerTimeout, peerWait+peerTimeout)
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
}

// List returns all items that the host knows.
func (p *Peer) List(ctx context.Context) (Batch, error) { return p.call(ctx, "") }

// Watch returns the items that the host knows to have changed.
func (p *Peer) Watch(ctx context.Context, after uint64) (Batch, error) {
	return p.call(ctx, "?after="+strconv.FormatUint(after, 10)+"&hops="+strconv.Itoa(p.MaxHops))
}

func (p *Peer) call(ctx context.Context, query string) (Batch, error) {
	data, err := Fetch(ctx, p.Client, p.Address, Path+query, peerWait+peerTimeout)
	if err != nil {
		return Batch{}, err
	}
	return decodeBatch(data)
}

// packer compresses items. Hosts that follow this one mostly ask for the same
// ones, which are compressed once.
type packer struct {
	mu       sync.Mutex
	encoder  *zstd.Encoder
	after    uint64 // the revisions between which packed lies
	revision uint64
	packed   []byte
}

// batch returns the answer for a batch of the items after a revision.
func (p *packer) batch(after uint64, b Batch) ([]byte, error) {
	w := wireBatch{Revision: b.Revision, Age: b.Age.Milliseconds(), Hops: b.Hops}
	if len(b.Items) > 0 {
		var err error
		if w.Items, err = p.items(after, b); err != nil {
			return nil, err
		}
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrap(err, "encoding entries for a host")
}

func (p *packer) items(after uint64, b Batch) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.after == after && p.revision == b.Revision {
		return p.packed, nil
	}
	items := make([]wireItem, len(b.Items))
	for i, item := range b.Items {
		items[i] = wireItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
	}
	data, err := cbor.Marshal(items)
	if err != nil {
		return nil, errors.Wrap(err, "encoding entries for a host")
	}
	if p.encoder == nil {
		p.encoder, err = zstd.NewWriter(nil,
			zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
		if err != nil {
			return nil, errors.Wrap(err, "preparing to compress entries")
		}
	}
	p.after, p.revision, p.packed = after, b.Revision, p.encoder.EncodeAll(data, nil)
	return p.packed, nil
}

// unpacker returns the one decoder of the process; it may be used by several
// goroutines.
var unpacker = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxAnswer))
})

// unpack returns the items in a batch.
func unpack(packed []byte) ([]Item, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	decoder, err := unpacker()
	if err != nil {
		return nil, errors.Wrap(err, "preparing to decompress entries")
	}
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a host's entries")
	}
	var wire []wireItem
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decoding a host's entries")
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
		return Batch{}, errors.Wrap(err, "decoding a host's answer")
	}
	items, err := unpack(w.Items)
	return Batch{Items: items, Revision: w.Revision, Age: time.Duration(w.Age) * time.Millisecond, Hops: w.Hops}, err
}

// Server answers other hosts from a reader's book.
type Server struct {
	Reader *Reader

	packer packer
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP answers with all items, or with those changed after a revision as
// soon as there are any.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, batch, err := s.batch(r)
	if errors.Is(err, ErrCompacted) {
		w.WriteHeader(http.StatusGone)
		return
	}
	var data []byte
	if err == nil {
		data, err = s.packer.batch(after, batch)
	}
	if err != nil {
		s.Reader.Log.WithError(err).WithField("peer", r.RemoteAddr).Info("cannot answer a host that asks for entries")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data) // the host has left if it fails
}

// batch returns the batch that a host asks for, and the revision after which
// it asks; zero for all items.
func (s *Server) batch(r *http.Request) (uint64, Batch, error) {
	query := r.URL.Query()
	if !query.Has("after") {
		batch, err := s.Reader.all()
		return 0, batch, err
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, Batch{}, errors.Wrapf(err, "reading the revision %q", query.Get("after"))
	}
	hops, err := strconv.Atoi(query.Get("hops"))
	if err != nil {
		return 0, Batch{}, errors.Wrapf(err, "reading the number of hops %q", query.Get("hops"))
	}
	batch, err := s.Reader.after(r.Context(), after, hops, peerWait)
	return after, batch, err
}
