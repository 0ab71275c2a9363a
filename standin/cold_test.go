package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

type healthReport struct {
	State       string  `json:"state"`
	Busy        int     `json:"busy"`
	Slots       int     `json:"slots"`
	Load        float64 `json:"load"`
	Incarnation string  `json:"incarnation"`
}

func health(t *testing.T, client *http.Client, target *standin.Target) healthReport {
	t.Helper()
	call, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+target.Addr()+"/health", nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := client.Do(call)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = got.Body.Close() }()
	var report healthReport
	if err := json.NewDecoder(got.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report
}

func TestTargetWarmsUp(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 3, WarmAfter: 2, Latency: 10 * time.Millisecond})
	client := newClient(t)
	for i, want := range []string{"cold", "warm", "warm"} {
		got := sendRequest(t.Context(), client, target, i+1, nil)
		if got := got.header.Get("State"); got != want {
			t.Errorf("request %d: got state %q, want %q", i+1, got, want)
		}
	}
	if target.PeakCold() != 1 || target.IsCold() {
		t.Errorf("got a peak of %d, cold %v, want 1 and warm", target.PeakCold(), target.IsCold())
	}
	list := target.Ledger()
	if !list[0].Cold() || !list[0].ColdReported() || list[2].Cold() {
		t.Errorf("got %+v, want the first cold and the third warm", list)
	}
}

func TestColdTargetCrashesOnOverload(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{
		Slots: 4, ColdSlots: 2, MaxWaiting: 4, WarmAfter: 2, Latency: 100 * time.Millisecond,
	})
	before := target.Incarnation()
	replies := sendRequests(t, newClient(t), target, 3)
	for _, got := range replies {
		if got.err != nil || got.status != http.StatusInternalServerError || got.header.Get("Refused") != "" {
			t.Errorf("got %d %q, %v, want 500 and no refusal", got.status, got.header.Get("Refused"), got.err)
		}
	}
	got := results(target)
	if got[standin.ResultOverrun] != 1 || got[standin.ResultFailed] != 2 {
		t.Errorf("got %v, want 1 overrun and 2 failed", got)
	}
	if target.PeakCold() != 3 || !target.IsCold() || target.Incarnation() == before {
		t.Errorf("got a peak of %d, cold %v, incarnation %s, want 3, cold and a new one",
			target.PeakCold(), target.IsCold(), target.Incarnation())
	}
	eventually(t, "all connections are closed", func() bool { return target.OpenConnections() == 0 })
	if got := sendRequests(t, newClient(t), target, 2); got[0].status != http.StatusOK || got[1].status != http.StatusOK {
		t.Errorf("got %d and %d at the limit, want 200", got[0].status, got[1].status)
	}
}

// Chill keeps the connections open. Requests that started before it do not
// count against the cold limit, and the first requests after it have
// ColdReported unset, because no reply has revealed the cold state yet.
func TestTargetChill(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 4, ColdSlots: 1, WarmAfter: 1, Latency: 60 * time.Millisecond})
	client := newClient(t)
	sendRequest(t.Context(), client, target, 1, nil)
	warm := make(chan reply, 1)
	go func() { warm <- sendRequest(context.Background(), client, target, 2, nil) }()
	eventually(t, "the second request runs", func() bool { return health(t, client, target).Busy == 1 })
	open := target.OpenConnections()
	target.Chill()
	if got := target.OpenConnections(); got != open {
		t.Errorf("got %d connections, want %d", got, open)
	}
	got := sendRequest(t.Context(), client, target, 3, nil)
	if other := <-warm; got.status != http.StatusOK || other.status != http.StatusOK {
		t.Errorf("got %d and %d, want 200", got.status, other.status)
	}
	for _, entry := range target.Ledger() {
		if entry.Request() == 3 && (!entry.Cold() || entry.ColdReported()) {
			t.Errorf("got %+v, want a cold entry with ColdReported unset", entry)
		}
	}
}

func TestTargetRestart(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 2, WarmAfter: 1, Latency: 100 * time.Millisecond})
	client := newClient(t)
	sendRequest(t.Context(), client, target, 1, nil)
	before, addr := target.Incarnation(), target.Addr()
	lost := make(chan reply, 1)
	go func() { lost <- sendRequest(context.Background(), client, target, 2, nil) }()
	eventually(t, "the second request runs", func() bool { return health(t, client, target).Busy == 1 })
	target.Restart()
	if got := <-lost; got.err == nil {
		t.Errorf("got %d, want a closed connection", got.status)
	}
	if target.Incarnation() == before || !target.IsCold() || target.Addr() != addr {
		t.Errorf("got %s, cold %v at %s, want a new cold process at %s",
			target.Incarnation(), target.IsCold(), target.Addr(), addr)
	}
	eventually(t, "the failed request is recorded", func() bool { return results(target)[standin.ResultFailed] == 1 })
	if got := sendRequest(t.Context(), newClient(t), target, 3, nil); got.status != http.StatusOK {
		t.Errorf("new connection: got %d, %v, want 200", got.status, got.err)
	}
}

// fixedAddress returns a free address below the ephemeral port range, so that
// the system does not assign it to another socket between two uses.
func fixedAddress(t *testing.T) string {
	t.Helper()
	const first, count = 21000, 9000
	for i := range count {
		addr := fmt.Sprintf("127.0.0.1:%d", first+(os.Getpid()+i)%count)
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			_ = listener.Close()
			return addr
		}
	}
	t.Fatal("no address is free")
	return ""
}

func TestTargetStopAndRunAgain(t *testing.T) {
	t.Parallel()
	target := standin.NewTarget(standin.TargetConfig{ID: "look1a", Address: fixedAddress(t)})
	done := make(chan error, 1)
	go func() { done <- target.Run(t.Context()) }()
	<-target.Ready()
	addr := target.Addr()
	target.Stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", addr); err == nil {
		_ = conn.Close()
		t.Error("got a connection to a stopped target, want none")
	}
	run(t, target.Run)
	client := newClient(t)
	eventually(t, "the target serves again", func() bool {
		return sendRequest(t.Context(), client, target, 1, nil).status == http.StatusOK
	})
	if got := target.Addr(); got != addr {
		t.Errorf("got address %s, want %s", got, addr)
	}
}

func TestTargetConnections(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 1, MaxConns: 2, ConnDelay: 40 * time.Millisecond})
	clients := []*http.Client{newClient(t), newClient(t), newClient(t)}
	for i, client := range clients[:2] {
		start := time.Now()
		got := sendRequest(t.Context(), client, target, i+1, nil)
		if took := time.Since(start); got.status != http.StatusOK || took < 40*time.Millisecond {
			t.Errorf("new connection: got %d after %v, want 200 after 40 ms", got.status, took)
		}
		sendRequest(t.Context(), client, target, i+11, nil)
	}
	if got := sendRequest(t.Context(), clients[2], target, 3, nil); got.err == nil {
		t.Errorf("third connection: got %d, want it closed", got.status)
	}
	clients[0].CloseIdleConnections()
	eventually(t, "a connection is closed", func() bool { return target.OpenConnections() == 1 })
	if got := sendRequest(t.Context(), clients[2], target, 4, nil); got.status != http.StatusOK {
		t.Errorf("got %d, %v, want 200", got.status, got.err)
	}
}

func TestTargetHealthFaults(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 2, WarmAfter: 5, Latency: time.Millisecond})
	client := newClient(t)
	if got := health(t, client, target); got.State != "cold" || got.Slots != 2 || got.Incarnation != target.Incarnation() {
		t.Errorf("got %+v, want the actual state", got)
	}
	if err := target.SetHealthFault("lag"); err != nil {
		t.Fatal(err)
	}
	target.Drain()
	if got := health(t, client, target); got.State != "cold" {
		t.Errorf("lag: got %+v, want the last report", got)
	}
	if err := target.SetHealthFault("warm"); err != nil {
		t.Fatal(err)
	}
	if got := health(t, client, target); got.State != "warm" {
		t.Errorf("warm: got %+v, want warm", got)
	}
	if err := target.SetHealthFault(""); err != nil {
		t.Fatal(err)
	}
	if got := health(t, client, target); got.State != "drain" {
		t.Errorf("got %+v, want drain", got)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{LedgerSize: 3})
	client := newClient(t)
	for i := range 5 {
		sendRequest(t.Context(), client, target, i+1, nil)
	}
	list := target.Ledger()
	if len(list) != 3 || list[0].Request() != 3 || list[2].Request() != 5 || target.Dropped() != 2 {
		t.Errorf("got %+v and %d dropped, want requests 3 to 5 and 2", list, target.Dropped())
	}
}
