package origin_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	endlessBlock   = 32 << 10
	endlessMaxSent = 8 << 20 // bytes that a target may send before its connection is closed, with those in socket buffers
	endlessTimeout = 3 * time.Second
)

// sendEndless sends a prefix and then a text again and again, until the connection
// is closed, and returns the number of bytes.
func sendEndless(c net.Conn, prefix, text string) int64 {
	reply(c, prefix)
	text = strings.ReplaceAll(text, "\n", "\r\n")
	block := strings.Repeat(text, max(endlessBlock/len(text), 1))
	var sent int64
	for {
		n, err := io.WriteString(c, block)
		sent += int64(n)
		if err != nil {
			return sent
		}
	}
}

// TestAnswersWithoutEnd guards against a target that sends bytes without end and
// fills the memory of the host, or holds a connection for good.
func TestAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, prefix, text string }{
		{"a status line", "HTTP/1.1 200 O", "K"},
		{"header fields", "HTTP/1.1 200 OK\n", "A: b\n"},
		{"one header field", "HTTP/1.1 200 OK\nA: ", "b"},
		{"header fields without a name", "HTTP/1.1 200 OK\n", " b\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\nLink: x\n\n"},
		{"a chunked body", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", "4\nbody\n"},
		{"a chunk extension", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n1;", "x"},
		{"a trailer", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n0\n", "A: b\n"},
		{"a body that ends with the connection", "HTTP/1.1 200 OK\n\n", "body"},
		{"a body after a failure", "HTTP/1.1 500 Internal Server Error\nTransfer-Encoding: chunked\n\n", "4\nbody\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\nEcho: z\nContent-Length: 1\n\nz"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			closed := make(chan struct{})
			s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					sent.Store(sendEndless(c, test.prefix, test.text))
					close(closed)
				}
			})
			got := newCaller(s).do(t.Context(), "a", "")
			if got.Status != 0 || got.Err == nil {
				t.Errorf("got status %d and error %v, want no answer and an error", got.Status, got.Err)
			}
			if got.Broken() {
				t.Error("got a broken connection, want one that this host closed")
			}
			select {
			case <-closed:
			case <-time.After(endlessTimeout):
				t.Fatalf("the connection is still open after %s", endlessTimeout)
			}
			if got := sent.Load(); got > endlessMaxSent {
				t.Errorf("got %d bytes sent, want %d at most", got, endlessMaxSent)
			}
		})
	}
}

// TestLongHeadsAreReadWhole checks that a head of usual size passes, also after
// interim responses and on a connection that is reused.
func TestLongHeadsAreReadWhole(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 20<<10)
	s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, ok := readRequest(r)
			if !ok {
				return
			}
			reply(c, "HTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 200 OK\nEcho: "+id+"\nProof: p-"+id+"\nLong: "+long+"\nContent-Length: 2\n\nok")
		}
	})
	c := newCaller(s)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		got := c.do(t.Context(), id, "")
		wantStatus(t, id, got, http.StatusOK)
		if got := len(got.Header.Get("Long")); got != len(long) {
			t.Errorf("request %s: got a field of %d bytes, want %d", id, got, len(long))
		}
	}
	if got := s.opened.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}
