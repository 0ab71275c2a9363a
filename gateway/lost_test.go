package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// replicas are the targets of one shard. The first of them that gets the request breaks
// the connection, the second one does not answer, and the others do.
type replicas struct {
	mu     sync.Mutex
	ran    []string      // IDs of the targets that got the request
	second chan struct{} // closed when the second attempt has arrived
}

func (s *replicas) serve(id string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.ran = append(s.ran, id)
	n := len(s.ran)
	s.mu.Unlock()
	switch n {
	case 1:
		panic(http.ErrAbortHandler) // the answer is lost
	case 2:
		close(s.second)
		<-r.Context().Done()
	default:
		w.Header().Set("Proof", "p")
	}
}

// distinct returns how many targets got the request.
func (s *replicas) distinct() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make(map[string]bool)
	for _, id := range s.ran {
		ids[id] = true
	}
	return len(ids)
}

// start starts the targets, in zone b.
func (s *replicas) start(t *testing.T, count int) []*catalog.Target {
	t.Helper()
	targets := make([]*catalog.Target, 0, count)
	for i := range count {
		id := "t" + strconv.Itoa(i)
		targets = append(targets, startReplica(t, id, "s", func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) }))
	}
	return targets
}

// startReplica starts a target in zone b.
func startReplica(t *testing.T, id, service string, handle http.HandlerFunc) *catalog.Target {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return catalog.NewTarget(catalog.TargetSpec{
		ID: magnoliashore.TargetID(id), Service: magnoliashore.ServiceName(service), Zone: "b", Slots: 2,
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
}

// TestLostHelperLeadsToMoreTargetsThanAttempts guards against a shard whose request
// reaches more targets than its route has attempts (review case 8): the host that queried
// it has made a second attempt after a failure, long before a hedge was due, and is lost;
// the host that delegated the shard to it knows of no attempt. A shard that has no more
// targets than attempts is queried again.
func TestLostHelperLeadsToMoreTargetsThanAttempts(t *testing.T) {
	t.Parallel()
	const attempts = 2
	for _, test := range []struct {
		name              string
		targets, unusable int // that both hosts know; those that the coordinator may not use any more
		want              scatter.Decision
	}{
		{"three targets", 3, 0, scatter.Fail},
		{"three targets, one has left the view of the coordinator", 3, 1, scatter.Fail},
		{"two targets", 2, 0, scatter.Answer},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			shard := &replicas{second: make(chan struct{})}
			targets := shard.start(t, test.targets)
			other := startReplica(t, "x0", "x", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Proof", "q") })
			helper := testEngine(catalog.NewView(nil, append(targets, other)), retry.Limit{Window: 10 * time.Second, Slack: 10})
			helper.Zone = "b"
			helper.Pool = &origin.Pool{Dialect: signedDialect{}, Timer: helper.Timer, MaxBody: 1 << 10}
			link := startHelper(t, helper.Batch)
			go func() {
				<-shard.second
				link.Close()
			}()
			known := catalog.NewView(nil, append(targets[test.unusable:], other), targets[:test.unusable]...)
			e := testEngine(known, retry.Limit{Window: 10 * time.Second, Slack: 10})
			e.Hosts = oneHelper{link: link}
			e.Pool = &origin.Pool{Dialect: signedDialect{}, Timer: e.Timer, MaxBody: 1 << 10}
			r := e.start(t.Context(), twoShards(attempts))
			defer r.cancel()
			decision, _ := r.wait(t.Context())
			if got := shard.distinct(); got > attempts {
				t.Errorf("got the request at %d targets, want %d at most", got, attempts)
			}
			if decision != test.want {
				t.Errorf("got decision %d (%s), want %d", decision, r.failureSummary(), test.want)
			}
		})
	}
}

// twoShards returns a query over the services s and x: a single shard makes no batch.
func twoShards(attempts int) *query {
	now := time.Now()
	return &query{
		request: origin.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "a"},
		kind:    "k", services: []magnoliashore.ServiceName{"s", "x"}, deadline: now.Add(5 * time.Second), received: now, topK: 5,
		scatter: true, useHelpers: true,
		params: scatter.Params{
			Shards: 2, MinShards: 2, MaxAttempts: attempts, HedgeAfter: 4 * time.Second, PartialAfter: 4 * time.Second, Timeout: 5 * time.Second,
		},
	}
}

// TestSuspectedRequestReachesMoreTargetsThanAttempts guards against a suspected query whose
// first shard is queried again with the others, at other targets: its result is kept.
func TestSuspectedRequestReachesMoreTargetsThanAttempts(t *testing.T) {
	t.Parallel()
	const attempts = 2
	for range 20 { // the first shard is chosen at random
		var mu sync.Mutex
		ran := make(map[string]int)
		targets := make([]*catalog.Target, 0, 6)
		for _, service := range []string{"s", "x"} {
			for i := range 3 {
				id := service + strconv.Itoa(i)
				targets = append(targets, startReplica(t, id, service, func(w http.ResponseWriter, _ *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					if ran[service]++; ran[service] > 1 {
						panic(http.ErrAbortHandler)
					}
					w.Header().Set("Proof", "p-"+service)
				}))
			}
		}
		e := testEngine(catalog.NewView(nil, targets), retry.Limit{Window: 10 * time.Second, Slack: 10})
		e.Pool = &origin.Pool{Dialect: signedDialect{}, Timer: e.Timer, MaxBody: 1 << 10}
		q := twoShards(attempts)
		q.suspected, q.useHelpers = true, false
		r, decision, ok := e.run(t.Context(), q)
		r.cancel()
		if !ok || decision != scatter.Answer || r.progress.Missing() != 0 {
			t.Fatalf("got decision %d with %d shards missing, want an answer with all: %s", decision, r.progress.Missing(), r.failureSummary())
		}
		if got := r.signatures(); len(got) != 2 || got[0] == got[1] {
			t.Errorf("got signatures %v, want one of each shard", got)
		}
		for service, got := range ran {
			if got != 1 {
				t.Errorf("shard %s: got %d requests, want 1", service, got)
			}
		}
	}
}
