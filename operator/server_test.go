package operator

import (
	"context"
	"io"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// fixedClock always returns noon.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return noon }

// hostState is the state of the host behind a test server.
type hostState struct{ ready, leaving, empty atomic.Bool }

func startServer(t *testing.T) (*Server, *hostState) {
	t.Helper()
	state := &hostState{}
	table, err := DecodeTable(7, readTestdata(t, "table.csv"))
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{
		Address: "127.0.0.1:0",
		Clock:   fixedClock{},
		Events:  sampleEvents,
		Ready:   state.ready.Load,
		Leaving: state.leaving.Load,
		View: func() magnoliashore.View {
			if state.empty.Load() {
				return magnoliashore.View{}
			}
			return magnoliashore.NewView(table, magnoliashore.Layout{}, magnoliashore.HostList{})
		},
		Status: sampleStatus,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	select {
	case <-server.Listening():
	case err := <-done:
		t.Fatal(err)
	}
	return server, state
}

func sampleStatus() Status {
	return NewStatus(StatusSpec{
		Host: "e1", Incarnation: 17, Table: 7, Layout: 3,
		Seats:  []SeatStatus{NewSeatStatus("e1", 17, true), NewSeatStatus("e2", 0, false)},
		Leases: []LeaseStatus{NewLeaseStatus("look1a", 1500*time.Millisecond)},
	})
}

// getPage returns the status, the body and the header of a page.
func getPage(t *testing.T, server *Server, path string) (int, string, http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := reply.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return reply.StatusCode, string(body), reply.Header
}

func TestPages(t *testing.T) {
	t.Parallel()
	server, state := startServer(t)
	check := func(path string, wantStatus int, want string) {
		t.Helper()
		status, body, _ := getPage(t, server, path)
		if status != wantStatus || !strings.Contains(body, want) {
			t.Errorf("%s: got %d and %s\nwant %d and %q", path, status, body, wantStatus, want)
		}
	}
	check(PathHealth, http.StatusOK, "up")
	check(PathReady, http.StatusServiceUnavailable, "starting")
	state.ready.Store(true)
	check(PathReady, http.StatusOK, "ready")
	state.leaving.Store(true)
	check(PathReady, http.StatusServiceUnavailable, "leaving")
	check(PathMetrics, http.StatusOK, "go_goroutines")
	check(PathTable, http.StatusOK, string(readTestdata(t, "table.csv")))
	if _, _, header := getPage(t, server, PathTable); header.Get("Version") != "7" {
		t.Errorf("got version %q, want 7", header.Get("Version"))
	}
	state.empty.Store(true)
	check(PathTable, http.StatusNotFound, "no table")
	_, body, _ := getPage(t, server, PathStatus)
	golden(t, "status.json", []byte(body))
}

func TestFetchEvents(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t)
	got, err := FetchEvents(t.Context(), server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if want := sampleEvents(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if _, err := FetchEvents(t.Context(), "127.0.0.1:0"); err == nil || !strings.Contains(err.Error(), "127.0.0.1:0") {
		t.Errorf("got %v, want an error that names the address", err)
	}
}
