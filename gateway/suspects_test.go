package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/reach"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
	"github.com/magnoliashore/magnoliashore/suspect"
)

// TestOnlyAnAnswerClearsARequest guards against a request that ends targets and is
// cleared by an attempt that does not show that a target survives it.
func TestOnlyAnAnswerClearsARequest(t *testing.T) {
	t.Parallel()
	target := targetOf("t1", time.Time{})
	for _, test := range []struct {
		name   string
		result origin.Result
		want   suspect.Verdict
	}{
		{"an answer", origin.Result{Status: http.StatusOK, Sent: true}, suspect.Innocent},
		{"an answer without success", origin.Result{Status: http.StatusNotFound, Sent: true}, suspect.Innocent},
		{"a failure", origin.Result{Status: http.StatusInternalServerError, Sent: true}, suspect.Refused},
		{"a refusal", origin.Result{Status: http.StatusServiceUnavailable, Sent: true, Reply: magnoliashore.TargetReply{NotRun: true}}, suspect.Refused},
		{"no answer", origin.Result{Sent: true}, suspect.Refused},
		{"the beginning of a long answer", origin.Result{Status: http.StatusOK, Sent: true, Tail: &origin.Tail{}}, suspect.Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := testEngine(catalog.NewView(nil, []*catalog.Target{target}), retry.Limit{})
			e.Pool = &origin.Pool{Dialect: signedDialect{}}
			q := &query{request: origin.Request{Method: http.MethodGet, Host: "h", URI: "/x"}}
			for _, id := range []magnoliashore.TargetID{"a", "b", "c"} {
				e.suspectRequests(targetOf(id, time.Time{}), []suspect.Digest{q.digest(signedDialect{})})
			}
			if got := e.rule(q).Verdict; got != suspect.Refused {
				t.Fatalf("got verdict %d after three ends, want the request refused", got)
			}
			e.observeRequest(t.Context(), q, target, test.result)
			if got := e.rule(q).Verdict; got != test.want {
				t.Errorf("got verdict %d, want %d", got, test.want)
			}
		})
	}
}

// TestRequestThatTargetsCompleteIsNotSuspected guards against a request that is asked
// for all the time and refused, since it was in flight at targets that ended in a row.
func TestRequestThatTargetsCompleteIsNotSuspected(t *testing.T) {
	t.Parallel()
	e := testEngine(catalog.NewView(nil, nil), retry.Limit{})
	e.Pool = &origin.Pool{Dialect: signedDialect{}}
	hot := &query{request: origin.Request{Method: http.MethodGet, Host: "h", URI: "/hot"}}
	deadly := &query{request: origin.Request{Method: http.MethodGet, Host: "h", URI: "/deadly"}}
	e.observeRequest(t.Context(), hot, targetOf("t1", time.Time{}), origin.Result{Status: http.StatusOK, Sent: true})
	for _, id := range []magnoliashore.TargetID{"a", "b", "c"} {
		e.suspectRequests(targetOf(id, time.Time{}), []suspect.Digest{hot.digest(signedDialect{}), deadly.digest(signedDialect{})})
	}
	if got := e.rule(hot).Verdict; got != suspect.Innocent {
		t.Errorf("got verdict %d for the request that was completed, want it innocent", got)
	}
	if got := e.rule(deadly).Verdict; got != suspect.Refused {
		t.Errorf("got verdict %d for the request that was not, want it refused", got)
	}
}

// TestCutHostsBlameNoRequests guards against requests that all hosts refuse since one
// host was cut off from the targets: behind a cut that resets connections, targets seem
// to end under every request. A request that was blamed for an end elsewhere stays so.
func TestCutHostsBlameNoRequests(t *testing.T) {
	t.Parallel()
	targets := []*catalog.Target{targetOf("t1", time.Time{}), targetOf("t2", time.Time{}), targetOf("t3", time.Time{})}
	e := testEngine(catalog.NewView(nil, targets), retry.Limit{})
	e.Pool = &origin.Pool{Dialect: signedDialect{}, Timer: e.Timer}
	innocent := &query{request: origin.Request{Method: http.MethodGet, Host: "h", URI: "/innocent"}}
	deadly := &query{request: origin.Request{Method: http.MethodGet, Host: "h", URI: "/deadly"}}
	elsewhere := catalog.NewTarget(catalog.TargetSpec{ID: "t4", Service: "s", Zone: "b"})
	for _, target := range targets {
		e.targetEnded(target, []suspect.Digest{innocent.digest(signedDialect{})})
	}
	e.targetEnded(elsewhere, []suspect.Digest{deadly.digest(signedDialect{})})
	if got := e.rule(innocent).Verdict; got != suspect.Refused {
		t.Fatalf("got verdict %d before the cut is known, want the request refused", got)
	}
	e.reach.Suspect(e.Timer.Now(), "a")
	e.recordTest(reach.Test{Zone: "a", Tried: 3, Own: 0, Others: 3})
	if got := e.rule(innocent).Verdict; got != suspect.Innocent {
		t.Errorf("got verdict %d once the cut is known, want the request innocent", got)
	}
	for _, target := range targets {
		e.targetEnded(target, []suspect.Digest{innocent.digest(signedDialect{})})
	}
	if got := e.rule(innocent).Verdict; got != suspect.Innocent {
		t.Errorf("got verdict %d after more connections broke behind the cut, want the request innocent", got)
	}
	if got := e.rule(deadly).Verdict; got != suspect.Suspect {
		t.Errorf("got verdict %d for a request with an end in another zone, want it suspected", got)
	}
}

// TestRefusalAfterAShardRan guards against "has not run" in the answer of a suspected
// request whose first shard has run before the others could not be queried.
func TestRefusalAfterAShardRan(t *testing.T) {
	t.Parallel()
	for probed, want := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway} {
		e, q := shardedEngine()
		q.probed = probed
		h := &Handler{Engine: e}
		run := &queryRun{engine: e, query: q, progress: scatter.NewProgress(q.params, time.Now())}
		if got := h.writeAnswer(httptest.NewRecorder(), run, scatter.Fail); got != want {
			t.Errorf("first shard has run %t: got status %d, want %d", probed, got, want)
		}
	}
}

// TestSendOfTheFirstShardCounts guards against withdrawing a request as unsent while its
// first shard runs.
func TestSendOfTheFirstShardCounts(t *testing.T) {
	t.Parallel()
	e, q := shardedEngine()
	q.withdrawn = make(chan struct{})
	e.inFlight.add(q)
	first, _ := q.firstShard(e.View())
	first.recordSend()
	if waiting, all := e.inFlight.withdraw(); waiting != 0 || all != 1 {
		t.Errorf("got %d of %d requests withdrawn, want none of 1", waiting, all)
	}
}
