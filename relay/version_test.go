package relay_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore/relay"
)

// TestHostsOfTheLastLandingReadBatches guards against frames that hosts up to 1c2321a can't
// decode, which makes them close the link: they get the bytes that they know.
func TestHostsOfTheLastLandingReadBatches(t *testing.T) {
	t.Parallel()
	want, err := os.ReadFile("testdata/request-1c2321a.golden")
	if err != nil {
		t.Fatal(err)
	}
	frames := make(chan []byte, 1)
	link, _ := connect(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upgrader := websocket.Upgrader{}
		socket, err := upgrader.Upgrade(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = socket.Close() }()
		_, data, err := socket.ReadMessage()
		if err != nil {
			t.Error(err)
		}
		frames <- data
	}))
	if _, err := link.Send(testRequest()); err != nil {
		t.Fatal(err)
	}
	if got := <-frames; !bytes.Equal(got, want) {
		t.Errorf("got frame %x, want %x", got, want)
	}
}

// TestBatchesOfTheLastLandingAreRead sends the bytes of a host of 1c2321a to one of this
// version.
func TestBatchesOfTheLastLandingAreRead(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("testdata/request-1c2321a.golden")
	if err != nil {
		t.Fatal(err)
	}
	requests := make(chan relay.Request, 1)
	server := httptest.NewServer(relayServer(func(_ context.Context, r relay.Request, _ func(relay.Result)) { requests <- r }))
	t.Cleanup(server.Close)
	socket, resp, err := websocket.DefaultDialer.DialContext(t.Context(), "ws"+strings.TrimPrefix(server.URL, "http"), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	t.Cleanup(func() { _ = socket.Close() })
	if err := socket.WriteMessage(websocket.BinaryMessage, data); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-requests:
		if want := testRequest(); !reflect.DeepEqual(got, want) {
			t.Errorf("got request %+v, want %+v", got, want)
		}
	case <-time.After(2 * time.Second):
		t.Error("got no request within 2 s")
	}
}
