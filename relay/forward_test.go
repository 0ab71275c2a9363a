package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/relay"
)

// forwardHandler is the function that a ForwardServer calls.
type forwardHandler func(w http.ResponseWriter, r *http.Request, timeout, elapsed time.Duration) error

// startForwardServer starts a host that takes requests, and returns its ip:port.
func startForwardServer(t *testing.T, handle forwardHandler) string {
	t.Helper()
	server := httptest.NewServer(&relay.ForwardServer{Handle: handle, Log: &log.Logger{Handler: discard.New()}})
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestForwardKeepsRequestAndAnswer(t *testing.T) {
	t.Parallel()
	peer := startForwardServer(t, func(w http.ResponseWriter, r *http.Request, timeout, elapsed time.Duration) error {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		got := strings.Join([]string{r.Method, r.RequestURI, r.Host, r.Header.Get("Name"), string(body), timeout.String(), elapsed.String()}, " ")
		w.Header().Set("Signature", "s")
		w.WriteHeader(http.StatusTeapot)
		_, err = io.WriteString(w, got)
		return err
	})
	resp, err := relay.NewForwarder().Forward(t.Context(), peer, relay.ForwardedRequest{
		Method: "PUT", URI: "/a%2Fb?x=1", Host: "search.example", Header: http.Header{"Name": {"value"}}, Body: []byte("body"),
		Timeout: 1500 * time.Millisecond, Elapsed: 2 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	body, err := io.ReadAll(resp.Body)
	if want := "PUT /a%2Fb?x=1 search.example value body 1.5s 2ms"; string(body) != want || err != nil {
		t.Errorf("got request %q and error %v, want %q", body, err, want)
	}
	if resp.StatusCode != http.StatusTeapot || resp.Header.Get("Signature") != "s" {
		t.Errorf("got status %d and signature %q, want those of the other host", resp.StatusCode, resp.Header.Get("Signature"))
	}
}

// TestForwardTellsWhatHasNotRun guards against a false statement that a request has not
// run: only what was not sent, or what the other host has refused, certainly has not.
func TestForwardTellsWhatHasNotRun(t *testing.T) {
	t.Parallel()
	refusing := startForwardServer(t, func(http.ResponseWriter, *http.Request, time.Duration, time.Duration) error {
		return errors.New("too busy")
	})
	breaking := startForwardServer(t, func(http.ResponseWriter, *http.Request, time.Duration, time.Duration) error {
		panic(http.ErrAbortHandler)
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, peer string
		want       error // nil for one that may have run
	}{
		{"refused", refusing, relay.ErrRefused},
		{"no connection", gone, relay.ErrNotSent},
		{"broken off", breaking, nil},
	} {
		resp, err := relay.NewForwarder().Forward(t.Context(), test.peer, relay.ForwardedRequest{Method: "GET", URI: "/"})
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: got no error, want one", test.name)
			continue
		}
		if got := errors.IsAny(err, relay.ErrRefused, relay.ErrNotSent); got != (test.want != nil) || test.want != nil && !errors.Is(err, test.want) {
			t.Errorf("%s: got error %v, want it marked %v", test.name, err, test.want)
		}
	}
}

// TestForwardSendsOnce guards against an HTTP client that sends a request again when a
// kept connection breaks: it may run once only.
func TestForwardSendsOnce(t *testing.T) {
	t.Parallel()
	var received atomic.Int32
	peer := startForwardServer(t, func(w http.ResponseWriter, _ *http.Request, _, _ time.Duration) error {
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
		return nil
	})
	f := relay.NewForwarder()
	for i := range 2 {
		resp, err := f.Forward(t.Context(), peer, relay.ForwardedRequest{Method: "GET", URI: "/"})
		if (err != nil) != (i == 1) {
			t.Errorf("request %d: got error %v, want one for the second only", i, err)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	time.Sleep(100 * time.Millisecond)
	if got := received.Load(); got != 2 {
		t.Errorf("got %d requests received, want 2", got)
	}
}

// TestIdleForwardConnectionsAreClosed guards against requests on connections that have
// become silent while they were idle.
func TestIdleForwardConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	var callers []string
	peer := startForwardServer(t, func(w http.ResponseWriter, r *http.Request, _, _ time.Duration) error {
		callers = append(callers, r.RemoteAddr)
		w.WriteHeader(http.StatusOK)
		return nil
	})
	f := relay.NewForwarder()
	for i := range 3 {
		resp, err := f.Forward(t.Context(), peer, relay.ForwardedRequest{Method: "GET", URI: "/"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if i == 1 {
			f.CloseIdle()
		}
	}
	if callers[0] != callers[1] || callers[1] == callers[2] {
		t.Errorf("got connections from %v, want one for the first two requests and another after the idle ones were closed", callers)
	}
}

// TestForwardEndsWithItsCaller guards against work at another host for a caller that
// has left.
func TestForwardEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	received, ended := make(chan struct{}), make(chan struct{})
	peer := startForwardServer(t, func(_ http.ResponseWriter, r *http.Request, _, _ time.Duration) error {
		close(received)
		<-r.Context().Done()
		close(ended)
		return nil
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-received
		leave()
	}()
	resp, err := relay.NewForwarder().Forward(ctx, peer, relay.ForwardedRequest{Method: "GET", URI: "/"})
	if err == nil {
		_ = resp.Body.Close()
		t.Error("got no error, want one")
	}
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Error("got a request that runs 0.4 s after its caller has left, want it to end")
	}
}

func TestInvalidForwardsAreRefused(t *testing.T) {
	t.Parallel()
	peer := startForwardServer(t, func(http.ResponseWriter, *http.Request, time.Duration, time.Duration) error {
		t.Error("got a request, want none")
		return nil
	})
	for name, body := range map[string]string{
		"empty": "", "not CBOR": "hello", "long": strings.Repeat("x", 3<<20), "no URI": "\x87\x63GET\x60\x60\xa0\x40\x00\x00",
	} {
		resp, err := http.Post("http://"+peer+relay.ForwardPath, "", strings.NewReader(body))
		if err != nil {
			t.Errorf("%s: got error %v, want an answer", name, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Forward-Refused") == "" {
			t.Errorf("%s: got status %d, want a refusal", name, resp.StatusCode)
		}
	}
}
