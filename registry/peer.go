package registry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

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
	Items    []wireItem
	Revision uint64
	Age      int64 // milliseconds since the store was last heard
	Hops     int
}

// Peer is another host as a source.
type Peer struct {
	Address string // ip:port
	Client  *http.Client
	// Hops is through how many hosts its answers may come. If they come
	// through more, the host answers at once.
	Hops int
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
	return p.call(ctx, "?after="+strconv.FormatUint(after, 10)+"&hops="+strconv.Itoa(p.Hops))
}

func (p *Peer) call(ctx context.Context, query string) (Batch, error) {
	data, err := Fetch(ctx, p.Client, p.Address, Path+query, peerWait+peerTimeout)
	if err != nil {
		return Batch{}, err
	}
	return decodeBatch(data)
}

func encodeBatch(b Batch) ([]byte, error) {
	w := wireBatch{Items: make([]wireItem, len(b.Items)), Revision: b.Revision, Age: b.Age.Milliseconds(), Hops: b.Hops}
	for i, item := range b.Items {
		w.Items[i] = wireItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrap(err, "encoding entries for a host")
}

func decodeBatch(data []byte) (Batch, error) {
	var w wireBatch
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Batch{}, errors.Wrap(err, "decoding a host's entries")
	}
	b := Batch{Items: make([]Item, len(w.Items)), Revision: w.Revision, Age: time.Duration(w.Age) * time.Millisecond, Hops: w.Hops}
	for i, item := range w.Items {
		b.Items[i] = Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
	}
	return b, nil
}

// Server answers other hosts from a reader's book.
type Server struct {
	Reader *Reader
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP answers with all items, or with those changed after a revision as
// soon as there are any.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	batch, err := s.batch(r)
	if errors.Is(err, ErrHistory) {
		w.WriteHeader(http.StatusGone)
		return
	}
	var data []byte
	if err == nil {
		data, err = encodeBatch(batch)
	}
	if err != nil {
		s.Reader.Log.WithError(err).WithField("peer", r.RemoteAddr).Info("cannot answer a host that asks for entries")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data) // the host has left if it fails
}

func (s *Server) batch(r *http.Request) (Batch, error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return s.Reader.all()
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return Batch{}, errors.Wrapf(err, "reading the revision %q", query.Get("after"))
	}
	hops, err := strconv.Atoi(query.Get("hops"))
	if err != nil {
		return Batch{}, errors.Wrapf(err, "reading the number of hops %q", query.Get("hops"))
	}
	return s.Reader.after(r.Context(), after, hops, peerWait)
}
