package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/balance"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/timer"
)

var quiet = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

func testRequest() relay.Request {
	return relay.Request{
		ID: "a1", Method: http.MethodPost, URI: "/x/?q=%2f", Host: "h", Header: http.Header{"X": {"1", "2"}}, Body: []byte("b"),
		Kind: "r", Priority: 2, Timeout: time.Second, HedgeAfter: 30 * time.Millisecond, PartialAfter: 80 * time.Millisecond,
		MaxAttempts: 2, TopK: 5, Shards: []magnoliashore.ServiceName{"s1", "s2", "s3"},
		Observations: []balance.Observation{{Target: "t", Slowness: 3, Age: 50 * time.Millisecond}},
	}
}

// connect starts a relay server and returns a connected link to it.
func connect(t *testing.T, handler http.Handler) (*relay.Link, *httptest.Server) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(relay.Path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	link := &relay.Link{Peer: strings.TrimPrefix(server.URL, "http://"), Timer: &timer.Service{}, Log: quiet}
	t.Cleanup(link.Close)
	link.Connect()
	for range 200 {
		if link.Connected() {
			return link, server
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not connected after 2 s")
	return nil, nil
}

func relayServer(handle func(ctx context.Context, request relay.Request, reply func(relay.Result))) http.Handler {
	return &relay.Server{Handle: handle, Timer: &timer.Service{}, Log: quiet}
}

// TestHostOfAnotherVersionTakesNoBatches connects to a host that serves the
// socket at the path of another version.
func TestHostOfAnotherVersionTakesNoBatches(t *testing.T) {
	t.Parallel()
	mux := http.NewServeMux()
	mux.Handle("/relay", relayServer(func(context.Context, relay.Request, func(relay.Result)) {
		t.Error("got a batch at a host of another version, want none")
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	link := &relay.Link{Peer: strings.TrimPrefix(server.URL, "http://"), Timer: &timer.Service{}, Log: quiet}
	t.Cleanup(link.Close)
	link.Connect()
	time.Sleep(100 * time.Millisecond) // many times what connecting takes
	if _, err := link.Send(testRequest()); !errors.Is(err, relay.ErrNotConnected) {
		t.Errorf("got error %v, want %v", err, relay.ErrNotConnected)
	}
}

func TestRequestAndResultsArriveUnchanged(t *testing.T) {
	t.Parallel()
	requests := make(chan relay.Request, 1)
	first := relay.Result{Shards: []int{0, 2}, Signatures: []string{"p0", "p2"}, Records: []byte("0123456789abcdef"), MedianLatency: time.Millisecond}
	last := relay.Result{
		Unsent: []int{1}, MayHaveRun: true, Last: true, Refused: 3,
		Observations: []balance.Observation{{Target: "t", Slowness: 2.5, FailureRate: 0.25, Age: 20 * time.Millisecond}},
	}
	link, _ := connect(t, relayServer(func(_ context.Context, request relay.Request, reply func(relay.Result)) {
		requests <- request
		reply(first)
		reply(last)
	}))
	call, err := link.Send(testRequest())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := <-requests, testRequest(); !reflect.DeepEqual(got, want) {
		t.Errorf("got request %+v, want %+v", got, want)
	}
	for _, want := range []relay.Result{first, last} {
		if got := <-call.Results; !reflect.DeepEqual(got, want) {
			t.Errorf("got result %+v, want %+v", got, want)
		}
	}
	if _, open := <-call.Results; open {
		t.Error("got a result after the last one, want none")
	}
}

func TestCancelStopsTheBatch(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	link, _ := connect(t, relayServer(func(ctx context.Context, _ relay.Request, _ func(relay.Result)) {
		<-ctx.Done()
		close(ended)
	}))
	call, err := link.Send(testRequest())
	if err != nil {
		t.Fatal(err)
	}
	call.Cancel()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("batch still runs 2 s after Cancel")
	}
}

func TestLostConnectionEndsCalls(t *testing.T) {
	t.Parallel()
	link, server := connect(t, relayServer(func(ctx context.Context, _ relay.Request, _ func(relay.Result)) { <-ctx.Done() }))
	call, err := link.Send(testRequest())
	if err != nil {
		t.Fatal(err)
	}
	link.Close()
	if _, open := <-call.Results; open {
		t.Error("got a result after the connection was closed, want a closed channel")
	}
	server.Close()
	time.Sleep(300 * time.Millisecond)
	if _, err := link.Send(testRequest()); !errors.Is(err, relay.ErrNotConnected) {
		t.Errorf("without a connection: got error %v, want %v", err, relay.ErrNotConnected)
	}
}

// TestSilentHostIsDisconnected has a host receive a batch and neither answer it
// nor close the connection. The link must close the connection.
func TestSilentHostIsDisconnected(t *testing.T) {
	t.Parallel()
	link, _ := connect(t, relayServer(func(ctx context.Context, _ relay.Request, _ func(relay.Result)) { <-ctx.Done() }))
	call, err := link.Send(testRequest())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(testRequest().PartialAfter + 600*time.Millisecond)
	if link.Connected() {
		t.Error("link is still connected, want it closed")
	}
	if _, open := <-call.Results; open {
		t.Error("got a result from a silent host, want a closed channel")
	}
}

// TestMalformedFrames has a host answer a batch with invalid frames. The link
// must end the call.
func TestMalformedFrames(t *testing.T) {
	t.Parallel()
	for _, frame := range [][]byte{nil, []byte("nonsense"), {0x85, 9, 1, 0xf6, 0xf6}} {
		link, _ := connect(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			upgrader := websocket.Upgrader{}
			socket, err := upgrader.Upgrade(w, r, nil)
			if err != nil {
				return
			}
			_, _, _ = socket.ReadMessage()
			_ = socket.WriteMessage(websocket.BinaryMessage, frame)
			_, _, _ = socket.ReadMessage()
		}))
		call, err := link.Send(testRequest())
		if err != nil {
			t.Fatal(err)
		}
		if _, open := <-call.Results; open {
			t.Errorf("frame %q: got a result, want a closed channel", frame)
		}
	}
}

// TestObservationsAreSmall checks the size of the observations that a host may
// send per second, against the limit on its control traffic.
func TestObservationsAreSmall(t *testing.T) {
	t.Parallel()
	const perSecond, limit = 240, 7000 // bytes
	list := make([]balance.Observation, perSecond)
	for i := range list {
		list[i] = balance.Observation{Target: "i-0123456789", Slowness: 9.3, FailureRate: 0.41, Age: 2999 * time.Millisecond}
	}
	size, err := relay.ObservationsSize(list)
	if err != nil {
		t.Fatal(err)
	}
	if size > limit {
		t.Errorf("got %d bytes, want at most %d", size, limit)
	}
}

// TestSilentLinkIsFoundOut guards against batches that are sent over a connection which
// has become silent, and waited for: a check closes it at once, and leaves a working one.
func TestSilentLinkIsFoundOut(t *testing.T) {
	t.Parallel()
	working, _ := connect(t, relayServer(func(context.Context, relay.Request, func(relay.Result)) {}))
	silent, _ := connect(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upgrader := websocket.Upgrader{}
		socket, err := upgrader.Upgrade(w, r, nil)
		if err != nil && t.Context().Err() == nil { // the link connects again while the test ends
			t.Error(err)
		}
		if err != nil {
			return
		}
		defer func() { _ = socket.Close() }()
		<-t.Context().Done() // reads nothing, so it answers no check
	}))
	call, err := silent.Send(testRequest())
	if err != nil {
		t.Fatal(err)
	}
	working.Check()
	silent.Check()
	select {
	case _, ok := <-call.Results:
		if ok {
			t.Error("got a result over a silent connection, want none")
		}
	case <-time.After(500 * time.Millisecond):
		t.Error("got a batch that is still waited for 0.5 s after the check")
	}
	if !working.Connected() {
		t.Error("got a working connection closed, want it open")
	}
}

// TestLinkOpensAfterItsClose guards against a connection that nobody holds or closes,
// since it was being opened when its host left.
func TestLinkOpensAfterItsClose(t *testing.T) {
	t.Parallel()
	dialing, proceed, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	inner := relayServer(func(context.Context, relay.Request, func(relay.Result)) {})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(dialing)
		<-proceed
		inner.ServeHTTP(w, r)
		close(ended)
	}))
	t.Cleanup(server.Close)
	link := &relay.Link{Peer: strings.TrimPrefix(server.URL, "http://"), Timer: &timer.Service{}, Log: quiet}
	link.Connect()
	<-dialing
	link.Close()
	close(proceed)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open after 2 s, want it closed as the link is")
		server.CloseClientConnections()
	}
}
