package standin_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

const eventTimeout = 5 * time.Second // limit of eventually

func startTarget(t *testing.T, cfg standin.TargetConfig) *standin.Target {
	t.Helper()
	if cfg.ID == "" {
		cfg.ID = "look1a"
	}
	target := standin.NewTarget(cfg)
	run(t, target.Run)
	<-target.Ready()
	return target
}

// run runs a component until the test ends.
func run(t *testing.T, component func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- component(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// newClient returns a client with its own connections.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// reply is the reply of a target.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // the request failed or the reply is incomplete
}

// sendRequest sends one request. headers override the default headers; an empty
// value clears one.
func sendRequest(
	ctx context.Context, client *http.Client, target *standin.Target, request int, headers map[string]string,
) reply {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Addr()+"/run", http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	call.Header.Set("Request", strconv.Itoa(request))
	call.Header.Set("Query", "q1")
	call.Header.Set("Partition", "look1")
	call.Header.Set("Snapshot", "1")
	for name, value := range headers {
		call.Header.Set(name, value)
	}
	got, err := client.Do(call)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	return reply{status: got.StatusCode, header: got.Header, body: string(body), err: err}
}

// sendRequests sends n requests concurrently and returns the replies.
func sendRequests(t *testing.T, client *http.Client, target *standin.Target, n int) []reply {
	t.Helper()
	replies := make(chan reply, n)
	for i := range n {
		go func() { replies <- sendRequest(context.Background(), client, target, i+1, nil) }()
	}
	list := make([]reply, 0, n)
	for range n {
		list = append(list, <-replies)
	}
	return list
}

// golden compares got with the contents of file.
func golden(t *testing.T, file string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// eventually fails the test unless condition holds within eventTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(eventTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("%s: not true after %v", what, eventTimeout)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func results(target *standin.Target) map[standin.Result]int {
	counts := make(map[standin.Result]int)
	for _, entry := range target.Ledger() {
		counts[entry.Result()]++
	}
	return counts
}
