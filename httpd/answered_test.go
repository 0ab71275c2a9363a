package httpd_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/magnoliashore/magnoliashore/httpd"
)

// TestRequestWithoutAnswer guards against an empty 200 for a request that its handler
// leaves without an answer, whatever else it does with the response.
func TestRequestWithoutAnswer(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		handle http.HandlerFunc
		want   int // status; zero for a closed connection
	}{
		{"nothing", func(http.ResponseWriter, *http.Request) {}, 0},
		{"header fields only", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X", "1") }, 0},
		{"a flush", func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }, 0},
		{"an interim answer", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) }, 0},
		{"an empty answer", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, http.StatusOK},
		{"a failure", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, http.StatusBadGateway},
		{"a body", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, http.StatusOK},
		{"a body that is flushed", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "x")
			if err := http.NewResponseController(w).Flush(); err != nil {
				panic(err)
			}
		}, http.StatusOK},
		{"a connection that is taken over", func(w http.ResponseWriter, _ *http.Request) {
			hijacker, ok := w.(http.Hijacker)
			if !ok {
				panic("no hijacker")
			}
			c, _, err := hijacker.Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = c.Close()
		}, http.StatusAccepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(httpd.Answered(test.handle))
			t.Cleanup(server.Close)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			got := 0
			if resp, err := http.DefaultClient.Do(req); err == nil {
				got = resp.StatusCode
				_ = resp.Body.Close()
			}
			if got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
		})
	}
}
