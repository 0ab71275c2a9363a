package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
	"github.com/magnoliashore/magnoliashore/timer"
)

// waitTimeout limits how long a test waits for an expected event.
const waitTimeout = 10 * time.Second

// fakeEngine answers each query with the function answer.
type fakeEngine struct {
	answer   func(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer
	leaving  atomic.Bool
	notReady atomic.Bool
}

func (e *fakeEngine) Query(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	return e.answer(ctx, query)
}

func (e *fakeEngine) Entries(zone magnoliashore.ZoneName) magnoliashore.Entries {
	return magnoliashore.NewEntries([]magnoliashore.Entry{
		magnoliashore.NewEntry("e1", 17, 2, zone, "127.0.0.1:7001"),
	}, 3*time.Second)
}

func (e *fakeEngine) Ready() bool   { return !e.notReady.Load() }
func (e *fakeEngine) Leaving() bool { return e.leaving.Load() }

func answerRan(_ context.Context, query magnoliashore.Query) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query: query.ID(), Outcome: magnoliashore.OutcomeRan, Host: "e1",
		Parts: []magnoliashore.Part{magnoliashore.NewPart("p", "t", query.Body())},
	})
}

// startServer runs a server and returns its base URL and a function that stops
// it and returns the error of Run. The server also stops when the test ends.
func startServer(t *testing.T, engine *fakeEngine) (string, func() error) {
	t.Helper()
	server := &Server{Address: "127.0.0.1:0", Engine: engine, Clock: &timer.Service{}, MaxBodyBytes: 1000}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(cancel)
	select {
	case <-server.Listening():
	case err := <-done:
		t.Fatal(err)
	}
	return "http://" + server.Addr(), func() error {
		cancel()
		return <-done
	}
}

type reply struct {
	status int
	header http.Header
	answer magnoliashore.Answer
}

// post sends a query and decodes the answer in the reply's content type.
func post(t *testing.T, url, contentType, accept string, body []byte) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+wire.PathQuery, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Accept", accept)
	return doRequest(t, request)
}

func doRequest(t *testing.T, request *http.Request) reply {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
	format, ok := wire.ParseContentType(response.Header.Get("Content-Type"))
	if !ok {
		t.Fatalf("got content type %q, status %d, body %q", response.Header.Get("Content-Type"), response.StatusCode, data)
	}
	answer, err := wire.DecodeAnswer(format, data)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: response.StatusCode, header: response.Header, answer: answer}
}

// awaitRefused waits until an address refuses connections.
func awaitRefused(t *testing.T, address string) {
	t.Helper()
	var clock timer.Service
	limit := clock.Now().Add(waitTimeout)
	for clock.Now().Before(limit) {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	t.Fatalf("%s still accepts connections", address)
}

func await(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	var timers timer.Service
	limit := timers.After(waitTimeout)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		t.Fatalf("waited %v for %s", waitTimeout, what)
	}
}
