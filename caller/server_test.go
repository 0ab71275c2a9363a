package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
	"github.com/magnoliashore/magnoliashore/timer"
)

func TestQueryFormats(t *testing.T) {
	t.Parallel()
	url, _ := startServer(t, &fakeEngine{answer: answerRan})
	query := magnoliashore.NewQuery(magnoliashore.QuerySpec{ID: "q1", Group: "g", Body: []byte("hello")})
	for _, from := range []wire.Format{wire.JSON, wire.CBOR} {
		for _, to := range []wire.Format{wire.JSON, wire.CBOR} {
			body, err := wire.EncodeQuery(from, query, time.Time{})
			if err != nil {
				t.Fatal(err)
			}
			got := post(t, url, from.ContentType(), to.ContentType(), body)
			if got.status != http.StatusOK || string(got.answer.Parts()[0].Body()) != "hello" {
				t.Errorf("%v to %v: got %+v", from, to, got)
			}
			if got.header.Get("Content-Type") != to.ContentType() {
				t.Errorf("got content type %q, want %q", got.header.Get("Content-Type"), to.ContentType())
			}
		}
	}
}

func TestQueryRejected(t *testing.T) {
	t.Parallel()
	url, _ := startServer(t, &fakeEngine{answer: func(context.Context, magnoliashore.Query) magnoliashore.Answer {
		panic("the engine must not receive the query")
	}})
	cases := []struct {
		name, contentType, body string
		status                  int
		reason                  magnoliashore.Reason
		detail                  string
	}{
		{"JSON", "application/json", "{", 400, magnoliashore.ReasonRequest, "JSON"},
		{"unknown field", "application/json; charset=utf-8", `{"group":"g","x":1}`, 400, magnoliashore.ReasonRequest, "x: unknown"},
		{"deadline", "application/json", `{"group":"g","deadline":0}`, 400, magnoliashore.ReasonRequest, "deadline: 0"},
		{"ticket", "application/json", `{"group":"g","once":true}`, 400, magnoliashore.ReasonTicket, "ticket: missing"},
		{"size", "application/json", `{"group":"` + strings.Repeat("x", 1000) + `"}`, 413, magnoliashore.ReasonRequest, "at most 1000 bytes"},
		{"type", "text/plain", `{}`, 415, magnoliashore.ReasonRequest, "Content-Type: \"text/plain\""},
		{"no type", "", `{}`, 415, magnoliashore.ReasonRequest, "Content-Type: \"\""},
		{"CBOR", "application/cbor", "\xff", 400, magnoliashore.ReasonRequest, "CBOR"},
	}
	for _, c := range cases {
		got := post(t, url, c.contentType, "", []byte(c.body))
		if got.status != c.status || got.answer.Reason() != c.reason || !strings.Contains(got.answer.Detail(), c.detail) {
			t.Errorf("%s: got %d, %q, %q", c.name, got.status, got.answer.Reason(), got.answer.Detail())
		}
		if got.answer.Outcome() != magnoliashore.OutcomeNotRun {
			t.Errorf("%s: got outcome %v, want notrun", c.name, got.answer.Outcome())
		}
	}
}

func TestQueryRejectsTooLargeChunkedBody(t *testing.T) {
	t.Parallel()
	url, _ := startServer(t, &fakeEngine{answer: answerRan})
	body := io.MultiReader(strings.NewReader(strings.Repeat(" ", 1001)))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+wire.PathQuery, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if got := doRequest(t, request); got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("got %+v, want 413", got)
	}
}

func TestAnswerStatusCodes(t *testing.T) {
	t.Parallel()
	cases := []struct {
		spec   magnoliashore.AnswerSpec
		status int
		retry  string
	}{
		{magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeRan}, 200, ""},
		{magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonRequest}, 400, ""},
		{magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonBusy}, 503, "1"},
		{magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonBusy, RetryAfter: 1001 * time.Millisecond}, 503, "2"},
		{magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeUnknown, Reason: magnoliashore.ReasonLost}, 504, ""},
	}
	for _, c := range cases {
		url, _ := startServer(t, &fakeEngine{answer: func(context.Context, magnoliashore.Query) magnoliashore.Answer {
			return magnoliashore.NewAnswer(c.spec)
		}})
		got := post(t, url, "application/json", "", []byte(`{"group":"g"}`))
		if got.status != c.status || got.header.Get("Retry-After") != c.retry {
			t.Errorf("%+v: got %d and %q", c.spec, got.status, got.header.Get("Retry-After"))
		}
		if got.answer.Outcome() != c.spec.Outcome || got.answer.Reason() != c.spec.Reason {
			t.Errorf("%+v: got %+v", c.spec, got.answer)
		}
	}
}

func TestPanicAndUnencodableAnswer(t *testing.T) {
	t.Parallel()
	broken := []magnoliashore.Item{magnoliashore.NewItem(1, "p", []byte("{"))}
	url, _ := startServer(t, &fakeEngine{answer: func(_ context.Context, query magnoliashore.Query) magnoliashore.Answer {
		if query.Group() == "panic" {
			panic("panic of the test")
		}
		return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeRan, Items: broken})
	}})
	for _, group := range []string{"panic", "broken", "panic"} {
		got := post(t, url, "application/json", "application/cbor", []byte(`{"group":"`+group+`"}`))
		if got.status != 500 || got.answer.Outcome() != magnoliashore.OutcomeUnknown || got.answer.Reason() != magnoliashore.ReasonFault {
			t.Errorf("%s: got %+v, want 500 and unknown", group, got)
		}
	}
}

func TestGetEndpoints(t *testing.T) {
	t.Parallel()
	engine := &fakeEngine{answer: answerRan}
	url, _ := startServer(t, engine)
	check := func(path string, status int, leaving, body string) {
		t.Helper()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != status || response.Header.Get("Leaving") != leaving || !strings.Contains(string(data), body) {
			t.Errorf("%s: got %d, %v, %q", path, response.StatusCode, response.Header, data)
		}
	}
	entries := `{"keep":3000,"entries":[{"host":"e1","incarnation":17,"epoch":2,"zone":"a","address":"127.0.0.1:7001"}]}`
	check("/entries?zone=a", 200, "", entries)
	check("/health", 200, "", "")
	check("/ready", 200, "", "")
	check("/nothing", 404, "", "")
	engine.notReady.Store(true)
	engine.leaving.Store(true)
	check("/health", 200, "1", "")
	check("/ready", 503, "1", "")
	check("/entries", 200, "1", "127.0.0.1")
}

func TestDisconnectCancelsQuery(t *testing.T) {
	t.Parallel()
	received, cancelled := make(chan struct{}), make(chan struct{})
	url, _ := startServer(t, &fakeEngine{answer: func(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
		close(received)
		<-ctx.Done()
		close(cancelled)
		return answerRan(ctx, query)
	}})
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.WriteString(conn, "POST /query HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"group\":\"g\"}")
	if err != nil {
		t.Fatal(err)
	}
	await(t, received, "the engine to receive the query")
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, cancelled, "the query to be cancelled")
}

func TestShutdownFinishesRequests(t *testing.T) {
	t.Parallel()
	received, release := make(chan struct{}), make(chan struct{})
	url, stop := startServer(t, &fakeEngine{answer: func(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
		close(received)
		select {
		case <-release:
		case <-ctx.Done():
			return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{Reason: magnoliashore.ReasonCancelled})
		}
		return answerRan(ctx, query)
	}})
	replies := make(chan reply, 1)
	go func() { replies <- post(t, url, "application/json", "", []byte(`{"group":"g"}`)) }()
	await(t, received, "the engine to receive the query")
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	awaitRefused(t, strings.TrimPrefix(url, "http://"))
	select {
	case err := <-stopped:
		t.Fatalf("Run returned %v with a request in flight", err)
	default:
	}
	close(release)
	if got := <-replies; got.answer.Outcome() != magnoliashore.OutcomeRan {
		t.Errorf("got %+v, want ran", got)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestRunReportsAddressInUse(t *testing.T) {
	t.Parallel()
	url, _ := startServer(t, &fakeEngine{answer: answerRan})
	second := &Server{Address: strings.TrimPrefix(url, "http://"), Engine: &fakeEngine{}, Clock: &timer.Service{}}
	if err := second.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("got %v, want an error from listen", err)
	}
}
