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

// fixedClock stands still.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return noon }

// switches sets what a test server reports.
type switches struct{ ready, leaving, empty atomic.Bool }

func startServer(t *testing.T) (*Server, *switches) {
	t.Helper()
	set := &switches{}
	table, err := DecodeTable(7, readTestdata(t, "table.csv"))
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{
		Address: "127.0.0.1:0",
		Clock:   fixedClock{},
		Events:  sampleEvents,
		Ready:   set.ready.Load,
		Leaving: set.leaving.Load,
		View: func() magnoliashore.View {
			if set.empty.Load() {
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
	return server, set
}

func sampleStatus() Status {
	return NewStatus(StatusSpec{
		Host: "e1", Incarnation: 17, Table: 7, Layout: 3,
		Seats:  []SeatStatus{NewSeatStatus("e1", 17, true), NewSeatStatus("e2", 0, false)},
		Leases: []LeaseStatus{NewLeaseStatus("look1a", 1500*time.Millisecond)},
	})
}

// page reads a page; it returns the status, the body and the header.
func page(t *testing.T, server *Server, path string) (int, string, http.Header) {
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
	server, set := startServer(t)
	check := func(path string, wantStatus int, want string) {
		t.Helper()
		status, body, _ := page(t, server, path)
		if status != wantStatus || !strings.Contains(body, want) {
			t.Errorf("%s: got %d and %s\nwant %d and %q", path, status, body, wantStatus, want)
		}
	}
	check(PathHealth, http.StatusOK, "up")
	check(PathReady, http.StatusServiceUnavailable, "starting")
	set.ready.Store(true)
	check(PathReady, http.StatusOK, "ready")
	set.leaving.Store(true)
	check(PathReady, http.StatusServiceUnavailable, "leaving")
	check(PathMetrics, http.StatusOK, "go_goroutines")
	check(PathTable, http.StatusOK, string(readTestdata(t, "table.csv")))
	if _, _, header := page(t, server, PathTable); header.Get("Version") != "7" {
		t.Errorf("got version %q, want 7", header.Get("Version"))
	}
	set.empty.Store(true)
	check(PathTable, http.StatusNotFound, "no table")
	_, body, _ := page(t, server, PathStatus)
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
