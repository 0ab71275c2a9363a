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
)

// oneFellow has one other host that takes whole requests.
type oneFellow struct {
	noHosts
	peer string
}

func (h oneFellow) Fellows() []string { return []string{h.peer} }

// passOnTo has a host pass a request on to one that answers it with answer, and returns
// what the caller gets.
func passOnTo(t *testing.T, answer http.Handler) *httptest.ResponseRecorder {
	t.Helper()
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	e, q := shardedEngine()
	e.Hosts = oneFellow{peer: strings.TrimPrefix(server.URL, "http://")}
	q.received, q.streamUntil, q.request.Header = time.Now(), time.Now().Add(5*time.Second), http.Header{}
	q.request.Method, q.request.URI = http.MethodGet, "/"
	q.params.Timeout = 5 * time.Second
	h := &Handler{
		Engine: e, Dialect: signedDialect{}, Log: e.Log, DataAge: func() time.Duration { return 0 },
		Forwarder: relay.NewForwarder(), stop: e.stop,
	}
	recorder := httptest.NewRecorder()
	h.forward(recorder, httptest.NewRequest(http.MethodGet, "/", nil), catalog.NewRoute(catalog.RouteSpec{Name: "r"}), q)
	return recorder
}

// TestRefusalOfAnotherHost guards against a caller who is told that its request has not
// run by a host of an earlier version, which passes the 503 of a target that has run it
// on. A refusal that a host makes itself reaches the caller.
func TestRefusalOfAnotherHost(t *testing.T) {
	t.Parallel()
	refuse := func(w http.ResponseWriter) {
		w.Header().Set("Proof", "p")
		w.Header().Set("Retry-After", "0.250")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "failure")
	}
	earlier := passOnTo(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { refuse(w) }))
	if earlier.Code != http.StatusBadGateway || earlier.Header().Get("Proof") != "" || earlier.Header().Get("Retry-After") != "" || earlier.Body.Len() > 0 {
		t.Errorf("earlier version: got status %d, header %v and body %q, want an empty 502", earlier.Code, earlier.Header(), earlier.Body)
	}
	current := passOnTo(t, &relay.ForwardServer{
		Log: &log.Logger{Handler: discard.New()},
		Handle: func(w http.ResponseWriter, _ *http.Request, _, _ time.Duration) error {
			refuse(w)
			return nil
		},
	})
	if got := current.Header().Get("Retry-After"); current.Code != http.StatusServiceUnavailable || got != "0.250" {
		t.Errorf("this version: got status %d and Retry-After %q, want 503 and 0.250", current.Code, got)
	}
	for _, header := range []http.Header{earlier.Header(), current.Header()} {
		for name := range header {
			if strings.HasPrefix(name, "Forward-") {
				t.Errorf("got the header field %s, which is for hosts only", name)
			}
		}
	}
}

// TestAnswerThatArrivesWhileTheHostStops guards against a 502 for a request whose answer
// arrives just as its attempts are ended, and against the rest of a long answer that
// follows the 502.
func TestAnswerThatArrivesWhileTheHostStops(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		tail *origin.Tail
		want scatter.Decision
	}{
		{"a whole answer", nil, scatter.Answer},
		{"the beginning of a long one", &origin.Tail{}, scatter.Fail},
	} {
		e, _ := shardedEngine()
		e.Pool = &origin.Pool{Dialect: signedDialect{}}
		q := &query{services: []magnoliashore.ServiceName{"s0"}, params: scatter.Params{Shards: 1, MinShards: 1, MaxAttempts: 1}}
		_, cancel := context.WithCancel(t.Context())
		r := &queryRun{
			engine: e, query: q, progress: scatter.NewProgress(q.params, time.Now()), cancel: cancel, events: make(chan event, 1),
			reached: make([]bool, 1), tried: make([][]magnoliashore.TargetID, 1), failures: make(map[int]string),
		}
		r.progress.RecordAttempt(time.Now(), 0)
		r.events <- event{result: origin.Result{Status: http.StatusOK, Body: []byte("x"), Tail: test.tail, Sent: true}}
		if got := r.abort(); got != test.want || (r.answer != nil) != (test.want == scatter.Answer) || !r.mayHaveRun() {
			t.Errorf("%s: got decision %d, answer %+v and may have run %t; want %d and true", test.name, got, r.answer, r.mayHaveRun(), test.want)
		}
	}
}

// TestAnswerThatBreaksOffCountsAgainstItsTarget guards against a target that is taken for
// sound since its long answers begin, though they have no end.
func TestAnswerThatBreaksOffCountsAgainstItsTarget(t *testing.T) {
	t.Parallel()
	for _, complete := range []bool{true, false} {
		target := startReplica(t, "t0", "s", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			if !complete {
				panic(http.ErrAbortHandler)
			}
		})
		e := testEngine(catalog.NewView(nil, []*catalog.Target{target}), retry.Limit{})
		e.Pool = &origin.Pool{Dialect: signedDialect{}, Timer: e.Timer, MaxBody: 1 << 10, MaxBuffered: 1 << 10}
		q := twoShards(1)
		q.request.AllowTail = true
		a, ok := e.pick(q, "s", nil, firstAttempt)
		if !ok {
			t.Fatal("got no target")
		}
		result := e.makeAttempt(t.Context(), q, a)
		if result.Tail == nil {
			t.Fatalf("got status %d and error %v, want the beginning of a long answer", result.Status, result.Err)
		}
		err := result.Tail.Copy(t.Context(), io.Discard)
		if got := e.Balancer.Failing(e.Timer.Now(), "t0", time.Minute, time.Minute); got == complete || (err == nil) != complete {
			t.Errorf("complete %t: got error %v and target failing %t", complete, err, got)
		}
	}
}

// TestFieldsBetweenHostsOfATarget guards against a target whose answer makes another host
// take a request for refused, which sends it again, or other targets for leaving.
func TestFieldsBetweenHostsOfATarget(t *testing.T) {
	t.Parallel()
	recorder := httptest.NewRecorder()
	status, ok := writeHead(recorder, http.StatusOK, http.Header{
		"Forward-Refused": {"1"}, "Forward-Own-Refusal": {"1"}, "Forward-Leaving": {"t1"}, "Forward": {"kept"},
	}, 0)
	got := recorder.Header()
	if status != http.StatusOK || !ok || got.Get("Forward-Refused")+got.Get("Forward-Own-Refusal")+got.Get("Forward-Leaving") != "" || got.Get("Forward") != "kept" {
		t.Errorf("got status %d and header %v, want 200 without the fields of hosts", status, got)
	}
}
