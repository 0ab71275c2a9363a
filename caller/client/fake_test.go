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

// fakeHost is an entry host that records the queries it receives.
type fakeHost struct {
	name         magnoliashore.HostID
	addr         string
	answer       func(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer
	mu           sync.Mutex
	leaving      bool
	entriesCalls int
	entries      magnoliashore.Entries
	queries      []magnoliashore.Query
}

func (h *fakeHost) Query(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	h.mu.Lock()
	h.queries = append(h.queries, query)
	h.mu.Unlock()
	return h.answer(ctx, query)
}

func (h *fakeHost) Entries(magnoliashore.ZoneName) magnoliashore.Entries {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entriesCalls++
	return h.entries
}

func (h *fakeHost) Ready() bool { return true }

func (h *fakeHost) Leaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

func (h *fakeHost) update(change func(h *fakeHost)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

func (h *fakeHost) receivedQueries() []magnoliashore.Query {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queries
}

func (h *fakeHost) entriesCallCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entriesCalls
}

// newHost starts an entry host that answers every query with answer.
func newHost(t *testing.T, name magnoliashore.HostID, answer magnoliashore.AnswerSpec) *fakeHost {
	t.Helper()
	answer.Host = name
	h := &fakeHost{name: name}
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

// setEntries makes every host return the addresses in this order.
func setEntries(hosts []*fakeHost, list ...magnoliashore.Entry) {
	for _, h := range hosts {
		h.update(func(h *fakeHost) { h.entries = magnoliashore.NewEntries(list, time.Minute) })
	}
}

func entry(name magnoliashore.HostID, zone magnoliashore.ZoneName, address string) magnoliashore.Entry {
	return magnoliashore.NewEntry(name, 17, 2, zone, address)
}

// refusingAddress refuses connections. Its port is below the range that the system
// assigns, so no server of a test can listen on it.
const refusingAddress = "127.0.0.1:1"

// brokenServer reads a query and closes the connection without an answer, for the
// first failuresLeft queries. After that it passes queries on to host.
type brokenServer struct {
	host         *fakeHost
	mu           sync.Mutex
	failuresLeft int
	queries      []magnoliashore.Query
}

func (b *brokenServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	query, err := wire.DecodeQuery(wire.CBOR, data, (&timer.Service{}).Now())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.queries = append(b.queries, query)
	b.failuresLeft--
	fail := b.failuresLeft >= 0
	b.mu.Unlock()
	if fail {
		panic(http.ErrAbortHandler)
	}
	answer, err := wire.EncodeAnswer(wire.CBOR, b.host.answer(r.Context(), query))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", wire.CBOR.ContentType())
	_, _ = w.Write(answer)
}

func (b *brokenServer) receivedQueries() []magnoliashore.Query {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queries
}

// newBrokenServer starts a brokenServer in front of h that fails the given number
// of queries, and returns it with its address.
func newBrokenServer(t *testing.T, h *fakeHost, failures int) (*brokenServer, string) {
	t.Helper()
	b := &brokenServer{host: h, failuresLeft: failures}
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
