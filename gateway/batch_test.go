package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

// signedDialect is a dialect in which each answer is signed.
type signedDialect struct{}

func (signedDialect) Caller(http.Header) magnoliashore.CallerTerms {
	return magnoliashore.CallerTerms{}
}
func (signedDialect) Order(http.Header, magnoliashore.TargetTerms)    {}
func (signedDialect) Coverage(h http.Header, p []string, missing int) {}
func (signedDialect) Signature(proof string) bool                     { return proof != "" }
func (signedDialect) Reply(_ int, h http.Header) magnoliashore.TargetReply {
	return magnoliashore.TargetReply{Proof: h.Get("Proof"), NotRun: h.Get("Refused") != ""}
}

// oneHelper is a host of another zone that takes batches.
type oneHelper struct {
	noHosts
	link *relay.Link
}

func (h oneHelper) Helpers() map[magnoliashore.ZoneName][]scatter.Helper {
	return map[magnoliashore.ZoneName][]scatter.Helper{"b": {{Peer: h.link.Peer, Capacity: 100}}}
}

func (h oneHelper) Link(string) (*relay.Link, bool) { return h.link, true }

// startHelper starts a host that takes batches, and returns the link to it.
func startHelper(t *testing.T, handle func(ctx context.Context, ask relay.Request, reply func(relay.Result))) *relay.Link {
	t.Helper()
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	mux := http.NewServeMux()
	mux.Handle(relay.Path, &relay.Server{Handle: handle, Timer: &timer.Service{}, Log: quiet})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	link := &relay.Link{Peer: strings.TrimPrefix(server.URL, "http://"), Timer: &timer.Service{}, Log: quiet}
	t.Cleanup(link.Close)
	for link.Connect(); !link.Connected(); {
		time.Sleep(time.Millisecond)
	}
	return link
}

// startDyingHelper starts a host that dies when it has taken a batch, and returns the link
// to it.
func startDyingHelper(t *testing.T) *relay.Link {
	t.Helper()
	taken := make(chan struct{})
	link := startHelper(t, func(ctx context.Context, _ relay.Request, _ func(relay.Result)) {
		close(taken)
		<-ctx.Done()
	})
	go func() {
		<-taken
		link.Close()
	}()
	return link
}

// remoteShards returns an engine in zone a, and a query over four shards whose
// targets lie in zone b.
func remoteShards(t *testing.T, link *relay.Link) (*Engine, *query) {
	t.Helper()
	names := []string{"s1", "s2", "s3", "s4"}
	targets := make([]*catalog.Target, 0, len(names))
	services := make([]magnoliashore.ServiceName, 0, len(names))
	for _, name := range names {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Proof", "p-"+name)
			_, _ = io.WriteString(w, strings.Repeat(name, 8))
		}))
		t.Cleanup(server.Close)
		services = append(services, magnoliashore.ServiceName(name))
		targets = append(targets, catalog.NewTarget(catalog.TargetSpec{
			ID: magnoliashore.TargetID(name), Service: magnoliashore.ServiceName(name), Zone: "b", Slots: 2,
			Address: strings.TrimPrefix(server.URL, "http://"),
		}))
	}
	e := testEngine(catalog.NewView(nil, targets), retry.Limit{})
	e.Hosts = oneHelper{link: link}
	e.Pool = &origin.Pool{Dialect: signedDialect{}, Timer: e.Timer, MaxBody: 1 << 10}
	now := time.Now()
	return e, &query{
		request: origin.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "a"},
		kind:    "k", services: services, deadline: now.Add(2 * time.Second), received: now, topK: 5,
		scatter: true, useHelpers: true,
		params: scatter.Params{
			Shards: len(services), MinShards: len(services), Attempts: 2, Hedge: 100 * time.Millisecond,
			PartialAfter: 300 * time.Millisecond, Timeout: 2 * time.Second,
		},
	}
}

// wantAllShards runs a query and checks that all its parts come in.
func wantAllShards(t *testing.T, e *Engine, q *query) {
	t.Helper()
	r, cancel := e.start(t.Context(), q)
	defer cancel()
	verdict, _ := r.wait(t.Context())
	if len(r.batches) != 1 {
		t.Errorf("got %d batches, want 1", len(r.batches))
	}
	if verdict != scatter.Answer || r.progress.Missing() != 0 {
		t.Errorf("got verdict %d with %d shards missing, want an answer with all: %s", verdict, r.progress.Missing(), r.failureSummary())
	}
}

// TestBatchHostIsLost has the host of a batch die while it works on it: its
// shards are asked directly.
func TestBatchHostIsLost(t *testing.T) {
	t.Parallel()
	e, q := remoteShards(t, startDyingHelper(t))
	wantAllShards(t, e, q)
}

// TestLostBatchOfOnce has the host of a batch die with requests that may run
// once: they are not sent again.
func TestLostBatchOfOnce(t *testing.T) {
	t.Parallel()
	e, q := remoteShards(t, startDyingHelper(t))
	q.params.AtMostOnce = true
	r, cancel := e.start(t.Context(), q)
	defer cancel()
	if verdict, _ := r.wait(t.Context()); verdict != scatter.Fail || len(flat(r.tried)) != 0 {
		t.Errorf("got verdict %d after sends to %v, want a failure without a send", verdict, flat(r.tried))
	}
}

func flat(tried [][]magnoliashore.TargetID) []magnoliashore.TargetID {
	var all []magnoliashore.TargetID
	for _, list := range tried {
		all = append(all, list...)
	}
	return all
}
