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
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/timer"
)

// signedDialect is a dialect that takes each non-empty proof as a signature.
type signedDialect struct{}

func (signedDialect) Caller(http.Header) magnoliashore.CallerParams {
	return magnoliashore.CallerParams{}
}
func (signedDialect) Order(http.Header, magnoliashore.TargetParams)   {}
func (signedDialect) Coverage(h http.Header, p []string, missing int) {}
func (signedDialect) Signature(proof string) bool                     { return proof != "" }
func (signedDialect) Reply(_ int, h http.Header) magnoliashore.TargetReply {
	return magnoliashore.TargetReply{Signature: h.Get("Proof"), NotRun: h.Get("Refused") != ""}
}

// oneHelper has one other host, in another zone, that accepts batches.
type oneHelper struct {
	noHosts
	link *relay.Link
}

func (h oneHelper) Helpers() map[magnoliashore.ZoneName][]scatter.Helper {
	return map[magnoliashore.ZoneName][]scatter.Helper{"b": {{Peer: h.link.Peer, Capacity: 100}}}
}

func (h oneHelper) Link(string) (*relay.Link, bool) { return h.link, true }

// startHelper starts a host that accepts batches and returns a link to it.
func startHelper(t *testing.T, handle func(ctx context.Context, request relay.Request, reply func(relay.Result))) *relay.Link {
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

// startDyingHelper starts a host whose connection closes when it has received a
// batch, and returns a link to it.
func startDyingHelper(t *testing.T) *relay.Link {
	t.Helper()
	received := make(chan struct{})
	link := startHelper(t, func(ctx context.Context, _ relay.Request, _ func(relay.Result)) {
		close(received)
		<-ctx.Done()
	})
	go func() {
		<-received
		link.Close()
	}()
	return link
}

// remoteShards returns an engine in zone a and a query over four shards whose
// targets are in zone b.
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
			Shards: len(services), MinShards: len(services), MaxAttempts: 2, HedgeAfter: 100 * time.Millisecond,
			PartialAfter: 300 * time.Millisecond, Timeout: 2 * time.Second,
		},
	}
}

// wantAllShards runs a query and checks that all shards return partial results.
func wantAllShards(t *testing.T, e *Engine, q *query) {
	t.Helper()
	r := e.start(t.Context(), q)
	defer r.cancel()
	decision, _ := r.wait(t.Context())
	if len(r.batches) != 1 {
		t.Errorf("got %d batches, want 1", len(r.batches))
	}
	if decision != scatter.Answer || r.progress.Missing() != 0 {
		t.Errorf("got decision %d with %d shards missing, want an answer with all: %s", decision, r.progress.Missing(), r.failureSummary())
	}
}

// TestLostBatchIsRetried loses the host of a batch before it answers. The
// coordinator must query the shards itself.
func TestLostBatchIsRetried(t *testing.T) {
	t.Parallel()
	e, q := remoteShards(t, startDyingHelper(t))
	wantAllShards(t, e, q)
}

// TestLostBatchAtMostOnce loses the host of a batch of requests that may run at
// most once. They must not be sent again.
func TestLostBatchAtMostOnce(t *testing.T) {
	t.Parallel()
	e, q := remoteShards(t, startDyingHelper(t))
	q.params.AtMostOnce = true
	r := e.start(t.Context(), q)
	defer r.cancel()
	if decision, _ := r.wait(t.Context()); decision != scatter.Fail || len(flat(r.tried)) != 0 {
		t.Errorf("got decision %d after attempts at %v, want a failure without attempts", decision, flat(r.tried))
	}
}

// TestAnsweredQueryLeavesNoQueue hedges a shard whose first replica does not
// answer. Once the second one has answered, the request must leave the queue of
// the first at once.
func TestAnsweredQueryLeavesNoQueue(t *testing.T) {
	t.Parallel()
	left := make(chan time.Time, 1)
	stuck := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		left <- time.Now()
	}))
	quick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
	}))
	t.Cleanup(stuck.Close)
	t.Cleanup(quick.Close)
	replica := func(id string, zone magnoliashore.ZoneName, server *httptest.Server) *catalog.Target {
		return catalog.NewTarget(catalog.TargetSpec{
			ID: magnoliashore.TargetID(id), Service: "s", Zone: zone, Slots: 2, Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	config := catalog.NewConfig(catalog.ConfigSpec{Version: 1})
	e := testEngine(catalog.NewView(config, []*catalog.Target{replica("near", "a", stuck), replica("far", "b", quick)}), retry.Limit{})
	e.Pool = &origin.Pool{Dialect: signedDialect{}, Timer: e.Timer, MaxBody: 1 << 10}
	handler := &Handler{Engine: e, Dialect: signedDialect{}, Log: e.Log, DataAge: func() time.Duration { return 0 }, gates: &gates{timer: e.Timer}}
	now := time.Now()
	q := &query{
		request: origin.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "a"}, received: now,
		kind: "k", services: []magnoliashore.ServiceName{"s"}, deadline: now.Add(2 * time.Second), topK: 5, scatter: true,
		params: scatter.Params{Shards: 1, MinShards: 1, MaxAttempts: 2, HedgeAfter: 50 * time.Millisecond, Timeout: 2 * time.Second},
	}
	route := catalog.NewRoute(catalog.RouteSpec{Name: "r", Shards: q.services})
	answer := httptest.NewRecorder()
	handler.serve(answer, httptest.NewRequest(http.MethodGet, "/", nil), route, q)
	answered := time.Now()
	if answer.Code != http.StatusOK {
		t.Fatalf("got status %d, want 200", answer.Code)
	}
	if took := (<-left).Sub(answered); took > 100*time.Millisecond {
		t.Errorf("got the request out of the queue %s after the answer, want at most 100 ms", took)
	}
}

// TestHostWithoutTargetsReturnsItsBatch sends a batch to a host that has just
// restarted and knows no targets yet. The coordinator must query the shards itself.
func TestHostWithoutTargetsReturnsItsBatch(t *testing.T) {
	t.Parallel()
	restarted := testEngine(catalog.NewView(nil, nil), retry.Limit{})
	e, q := remoteShards(t, startHelper(t, restarted.Batch))
	wantAllShards(t, e, q)
}

func flat(tried [][]magnoliashore.TargetID) []magnoliashore.TargetID {
	var all []magnoliashore.TargetID
	for _, list := range tried {
		all = append(all, list...)
	}
	return all
}

// TestObservationsStayWithinTheirRate reports 16 slow targets with each of 148
// batches a second, the rate of a host at the size to come: no more than the rate,
// and a full bucket at the start, may be sent.
func TestObservationsStayWithinTheirRate(t *testing.T) {
	t.Parallel()
	const batches, seconds = 148, 10
	var limit observationLimit
	now, sent := time.Unix(1000, 0), 0
	for range batches * seconds {
		now = now.Add(time.Second / batches)
		sent += limit.take(now, 16)
	}
	if most := int(maxObservationRate * (seconds + 1)); sent > most || sent < int(maxObservationRate)*(seconds-1) {
		t.Errorf("got %d observations in %d s, want about %.0f a second", sent, seconds, maxObservationRate)
	}
}

// TestObservationsOutOfRangeAreDropped sends a batch with one valid observation
// and two that must have no effect.
func TestObservationsOutOfRangeAreDropped(t *testing.T) {
	t.Parallel()
	e := testEngine(catalog.NewView(nil, []*catalog.Target{targetOf("t1", time.Time{}), targetOf("t2", time.Time{})}), retry.Limit{})
	e.adopt([]balance.Observation{
		{Target: "t1", Slowness: 4}, {Target: "t2", Slowness: -1}, {Target: "unknown", Slowness: 4},
	})
	if got := e.Metrics.observationsDropped.Get(); got != 2 {
		t.Errorf("got %d dropped observations, want 2", got)
	}
	if got := e.report([]magnoliashore.ServiceName{"s"}); len(got) != 1 || got[0].Target != "t1" {
		t.Errorf("got report %+v, want the valid observation of t1", got)
	}
}
