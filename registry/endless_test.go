package registry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/registry"
)

// TestSourceWithoutEnd guards against a store or another host that sends an answer
// without end and fills the memory of the host that reads it.
func TestSourceWithoutEnd(t *testing.T) {
	t.Parallel()
	const (
		timeout     = 3 * time.Second
		maxHeadSent = 8 << 20 // with the bytes in socket buffers
		maxBodySent = 32 << 20
	)
	for _, test := range []struct {
		name, prefix, text string
		maxSent            int64
	}{
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n", maxHeadSent},
		{"one header field", "HTTP/1.1 200 OK\r\nA: ", "b", maxHeadSent},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", maxHeadSent},
		{"a body", "HTTP/1.1 200 OK\r\n\r\n", "body", maxBodySent},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			var sent atomic.Int64
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				block := strings.Repeat(test.text, (32<<10)/len(test.text))
				_, err = io.WriteString(c, test.prefix)
				for err == nil {
					var n int
					n, err = io.WriteString(c, block)
					sent.Add(int64(n))
				}
			}()
			start := time.Now()
			_, _, err = registry.Fetch(t.Context(), registry.NewPeerClient(), l.Addr().String(), "/", timeout)
			if err == nil {
				t.Error("got no error, want one")
			}
			if got := time.Since(start); got > timeout/2 {
				t.Errorf("got the error after %s, want it before the timeout of %s", got, timeout)
			}
			if got := sent.Load(); got > test.maxSent {
				t.Errorf("got %d bytes sent, want %d at most", got, test.maxSent)
			}
		})
	}
}

// TestLongAnswerIsNoPartOfOne guards against an answer that is cut at the bound and
// read as if it were whole.
func TestLongAnswerIsNoPartOfOne(t *testing.T) {
	t.Parallel()
	const tooLong = 17 << 20
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, tooLong)) })}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	if body, _, err := registry.Fetch(t.Context(), registry.NewPeerClient(), l.Addr().String(), "/", 5*time.Second); err == nil {
		t.Errorf("got %d bytes and no error, want an error", len(body))
	}
}
