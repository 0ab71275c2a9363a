package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller"
	"github.com/magnoliashore/magnoliashore/caller/wire"
	"github.com/magnoliashore/magnoliashore/timer"
)

// host is an entry host of a test. It notes every query that it gets.
type host struct {
	name    magnoliashore.HostID
	addr    string
	answer  func(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer
	mu      sync.Mutex
	leaving bool
	asked   int // for addresses
	entries magnoliashore.Entries
	queries []magnoliashore.Query
}

func (h *host) Query(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	h.mu.Lock()
	h.queries = append(h.queries, query)
	h.mu.Unlock()
	return h.answer(ctx, query)
}

func (h *host) Entries(magnoliashore.ZoneName) magnoliashore.Entries {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	return h.entries
}

func (h *host) Ready() bool { return true }

func (h *host) Leaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

func (h *host) set(change func(h *host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

func (h *host) got() []magnoliashore.Query {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queries
}

func (h *host) timesAsked() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked
}

// newHost starts an entry host that answers each query with answer.
func newHost(t *testing.T, name magnoliashore.HostID, answer magnoliashore.AnswerSpec) *host {
	t.Helper()
	answer.Host = name
	h := &host{name: name}
	h.answer = func(_ context.Context, query magnoliashore.Query) magnoliashore.Answer {
		answer := answer
		answer.Query = query.ID()
		return magnoliashore.NewAnswer(answer)
	}
	server := &caller.Server{Address: "127.0.0.1:0", Engine: h, Clock: &timer.Service{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	select {
	case <-server.Listening():
	case err := <-done:
		t.Fatal(err)
	}
	h.addr = server.Addr()
	return h
}

// publish makes every host name the addresses in this order.
func publish(hosts []*host, list ...magnoliashore.Entry) {
	for _, h := range hosts {
		h.set(func(h *host) { h.entries = magnoliashore.NewEntries(list, time.Minute) })
	}
}

func entry(name magnoliashore.HostID, zone magnoliashore.ZoneName, address string) magnoliashore.Entry {
	return magnoliashore.NewEntry(name, 17, 2, zone, address)
}

// refusing is an address that refuses connections: no server of a test can get
// its port, since it lies below those that the system hands out.
const refusing = "127.0.0.1:1"

// breaker is an address that reads each query and then breaks the connection
// instead of answering, as often as times says; after that it passes queries
// on to engine.
type breaker struct {
	host  *host
	mu    sync.Mutex
	times int
	seen  []magnoliashore.Query
}

func (b *breaker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	query, err := wire.DecodeQuery(wire.CBOR, data, (&timer.Service{}).Now())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.seen = append(b.seen, query)
	b.times--
	broken := b.times >= 0
	b.mu.Unlock()
	if broken {
		panic(http.ErrAbortHandler)
	}
	answer, err := wire.EncodeAnswer(wire.CBOR, b.host.answer(r.Context(), query))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", wire.CBOR.ContentType())
	_, _ = w.Write(answer)
}

func (b *breaker) got() []magnoliashore.Query {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// newBreaker starts a breaker before the host and returns its address.
func newBreaker(t *testing.T, h *host, times int) (*breaker, string) {
	t.Helper()
	b := &breaker{host: h, times: times}
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return b, listener.Addr().String()
}
