package configservice_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/standin"
)

func startPlatform(t *testing.T) (*standin.Platform, configservice.Client) {
	t.Helper()
	p := &standin.Platform{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	<-p.Ready()
	return p, configservice.Client{Address: p.Addr(), Wait: 50 * time.Millisecond}
}

func TestClientRead(t *testing.T) {
	t.Parallel()
	p, client := startPlatform(t)
	if _, err := client.Read(t.Context(), key); !errors.Is(err, configservice.ErrNotFound) {
		t.Errorf("got %v, want %v", err, configservice.ErrNotFound)
	}
	p.Publish(key, []byte("one"))
	p.Publish(key, []byte("two"))
	got, err := client.Read(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if got.Version() != 2 || string(got.Data()) != "two" || got.Key() != key {
		t.Errorf("got %v, want version 2 with two", got)
	}
}

func TestClientReadSize(t *testing.T) {
	t.Parallel()
	p, client := startPlatform(t)
	p.Publish(key, make([]byte, configservice.MaxValue))
	if _, err := client.Read(t.Context(), key); err != nil {
		t.Errorf("1 MiB: got %v, want none", err)
	}
	p.Publish(key, make([]byte, configservice.MaxValue+1))
	_, err := client.Read(t.Context(), key)
	if err == nil || !strings.Contains(err.Error(), "more than 1048576 bytes") {
		t.Errorf("over 1 MiB: got %v, want an error", err)
	}
}

// TestClientWatch publishes a new version during the third call of a watch, each of
// which the platform holds for 50 ms.
func TestClientWatch(t *testing.T) {
	t.Parallel()
	p, client := startPlatform(t)
	p.Publish(key, []byte("one"))
	go func() {
		for p.Calls() < 3 && t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		p.Publish(key, []byte("two"))
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	start := time.Now()
	got, err := client.Watch(ctx, key, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got.Version() != 2 {
		t.Errorf("got version %d, want 2", got.Version())
	}
	elapsed := time.Since(start)
	if got, most := p.Calls(), uint64(elapsed/client.Wait)+2; got < 3 || got > most {
		t.Errorf("got %d calls of 50 ms in %s, want 3 to %d", got, elapsed, most)
	}
}

func TestClientWatchReturnsWhenContextEnds(t *testing.T) {
	t.Parallel()
	_, client := startPlatform(t)
	ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
	defer cancel()
	if _, err := client.Watch(ctx, key, 0); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
	}
}

// Watch polls at most once per Wait, even if the platform does not hold long polls
// or answers with a version that is not new.
func TestClientWatchLimitsCallRate(t *testing.T) {
	t.Parallel()
	handlers := map[string]http.HandlerFunc{
		"204 at once": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
		"old version": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Version", "1") },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				handler(w, r)
			}))
			defer server.Close()
			client := configservice.Client{Address: server.Listener.Addr().String(), Wait: 50 * time.Millisecond}
			ctx, cancel := context.WithTimeout(t.Context(), 220*time.Millisecond)
			defer cancel()
			_, _ = client.Watch(ctx, key, 1)
			if got := calls.Load(); got > 5 {
				t.Errorf("got %d calls in 220 ms, want at most 5", got)
			}
		})
	}
}

func TestClientBadReplies(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		version string
		status  int
		want    string
	}{
		{"no version", "", http.StatusOK, `header Version has "", want a number above 0`},
		{"version zero", "0", http.StatusOK, `header Version has "0", want a number above 0`},
		{"fault", "1", http.StatusInternalServerError, "status is 500, want 200"},
		{"no content", "1", http.StatusNoContent, "status is 204, want 200"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Version", test.version)
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			client := configservice.Client{Address: server.Listener.Addr().String()}
			_, err := client.Read(t.Context(), key)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
			var step *magnoliashore.StepError
			if !errors.As(err, &step) || step.Peer() != client.Address {
				t.Errorf("got %v, want an error that names %s", err, client.Address)
			}
		})
	}
}

func TestClientHosts(t *testing.T) {
	t.Parallel()
	p, client := startPlatform(t)
	p.SetHosts([]string{"e1", "look1a"}, []string{"look1b"})
	got, err := client.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Live()) != 2 || !got.Leaving("look1b") || got.Leaving("e1") {
		t.Errorf("got %v, want 2 live and look1b leaving", got)
	}
}

func TestClientWithFailingPlatform(t *testing.T) {
	t.Parallel()
	p, client := startPlatform(t)
	p.Publish(key, []byte("one"))
	p.Publish(key, []byte("two"))
	p.SetMode(standin.ModeOld)
	if got, err := client.Read(t.Context(), key); err != nil || got.Version() != 1 {
		t.Errorf("old: got version %d, %v, want 1", got.Version(), err)
	}
	p.SetMode(standin.ModeDown)
	if _, err := client.Watch(t.Context(), key, 2); err == nil {
		t.Error("down: got no error, want one")
	}
	p.SetMode(standin.ModeUp)
	time.AfterFunc(20*time.Millisecond, func() { p.SetMode(standin.ModeDown) })
	holding := configservice.Client{Address: p.Addr(), Wait: 5 * time.Second}
	start := time.Now()
	if _, err := holding.Watch(t.Context(), key, 2); err == nil || time.Since(start) > 3*time.Second {
		t.Errorf("held watch: got %v after %v, want an error at once", err, time.Since(start))
	}
}
