package origin_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/origin"
)

// longLength exceeds what the socket buffers and the answer buffer hold.
const longLength = 8 << 20

// upload sends a request whose first byte is buffered and whose rest is streamed.
func (c *caller) upload(ctx context.Context, stream *origin.Stream) origin.Result {
	return c.pool.Do(ctx, origin.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}},
		Body: []byte("b"), Stream: stream, ID: "a",
	}, origin.Attempt{Target: c.target, Timeout: 5 * time.Second, MaxConnections: 2, MaxWaiting: 1})
}

func TestLongRequestArrivesWhole(t *testing.T) {
	t.Parallel()
	rest := strings.Repeat("x", longLength)
	for _, length := range []int64{longLength, -1} {
		bodies := make(chan string, 1)
		s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				id, body, ok := readRequest(r)
				if !ok {
					return
				}
				bodies <- body
				reply(c, "HTTP/1.1 200 OK\nEcho: "+id+"\nContent-Length: 2\n\nok")
			}
		})
		c := newCaller(s)
		for range 2 {
			stream := origin.NewStream(strings.NewReader(rest), length)
			wantStatus(t, "upload", c.upload(t.Context(), stream), http.StatusOK)
			if got := <-bodies; got != "b"+rest {
				t.Errorf("length %d: got a body of %d bytes, want the %d that were sent", length, len(got), len(rest)+1)
			}
			if !stream.AtEOF() && length < 0 {
				t.Error("got a stream that is not done, want done")
			}
		}
		if got := s.opened.Load(); got != 1 {
			t.Errorf("length %d: got %d connections, want 1", length, got)
		}
	}
}

// TestTruncatedRequestIsNotComplete ends the caller's body early: the target must
// be able to tell that the body it received is incomplete.
func TestTruncatedRequestIsNotComplete(t *testing.T) {
	t.Parallel()
	for _, length := range []int64{longLength, -1} {
		whole := make(chan bool, 1)
		s := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			_, _, ok := readRequest(r)
			whole <- ok
		})
		source, end := io.Pipe()
		go func() {
			_, _ = end.Write([]byte("part"))
			_ = end.CloseWithError(io.ErrUnexpectedEOF)
		}()
		stream := origin.NewStream(source, length)
		got := newCaller(s).upload(t.Context(), stream)
		if got.Status != 0 || got.NotRun() {
			t.Errorf("length %d: got status %d and not run %t, want no answer to a request that may have run", length, got.Status, got.NotRun())
		}
		if <-whole {
			t.Errorf("length %d: the target got a whole body, want a truncated one", length)
		}
		if stream.Err() == nil {
			t.Errorf("length %d: got no error of the stream, want one", length)
		}
	}
}

func TestLongRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	s := startTarget(t, echoIDs)
	c := newCaller(s)
	stream := origin.NewStream(strings.NewReader("rest"), 4)
	wantStatus(t, "first", c.upload(t.Context(), stream), http.StatusOK)
	got := c.upload(t.Context(), stream)
	if got.Status != 0 || !got.NotRun() {
		t.Errorf("got status %d and not run %t, want that nothing was sent again", got.Status, got.NotRun())
	}
}

// download requests an answer and allows a Tail.
func (c *caller) download(ctx context.Context) origin.Result {
	c.pool.MaxBuffered = 1 << 10
	return c.pool.Do(ctx, origin.Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}, ID: "a", AllowTail: true,
	}, origin.Attempt{Target: c.target, Timeout: 5 * time.Second, MaxConnections: 1, MaxWaiting: 1})
}

func TestLongAnswerIsStreamed(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("y", longLength)
	framings := map[string]func(c net.Conn){
		"length": func(c net.Conn) {
			reply(c, "HTTP/1.1 200 OK\nEcho: a\nContent-Length: "+strconv.Itoa(longLength)+"\n\n"+body)
		},
		"chunks": func(c net.Conn) {
			reply(c, "HTTP/1.1 200 OK\nEcho: a\nTransfer-Encoding: chunked\n\n"+strconv.FormatInt(longLength, 16)+"\n"+body+"\n0\n\n")
		},
	}
	for name, frame := range framings {
		s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, _, ok := readRequest(r); !ok {
					return
				}
				frame(c)
			}
		})
		c := newCaller(s)
		for range 2 {
			got := c.download(t.Context())
			wantStatus(t, name, got, http.StatusOK)
			if got.Tail == nil || len(got.Body) > 2<<10 {
				t.Fatalf("%s: got %d bytes held and tail %v, want the first 1 KiB and a tail", name, len(got.Body), got.Tail)
			}
			var rest bytes.Buffer
			if err := got.Tail.Copy(t.Context(), &rest); err != nil {
				t.Errorf("%s: got error %v, want none", name, err)
			}
			if string(got.Body)+rest.String() != body {
				t.Errorf("%s: got %d bytes, want the answer's %d", name, len(got.Body)+rest.Len(), longLength)
			}
		}
		if got := s.opened.Load(); got != 1 {
			t.Errorf("%s: got %d connections, want 1", name, got)
		}
	}
}

func TestTruncatedTailIsAnError(t *testing.T) {
	t.Parallel()
	s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); ok {
			reply(c, "HTTP/1.1 200 OK\nEcho: a\nContent-Length: "+strconv.Itoa(longLength)+"\n\n"+strings.Repeat("y", 1<<20))
		}
	})
	got := newCaller(s).download(t.Context())
	wantStatus(t, "first bytes", got, http.StatusOK)
	if err := got.Tail.Copy(t.Context(), io.Discard); err == nil {
		t.Error("got no error, want one for the incomplete answer")
	}
}

// TestUnusedTailReleasesItsConnection cancels a long answer that is never copied:
// its connection must not keep its slot, or later requests wait for ever.
func TestUnusedTailReleasesItsConnection(t *testing.T) {
	t.Parallel()
	s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); ok {
			reply(c, "HTTP/1.1 200 OK\nEcho: a\nContent-Length: "+strconv.Itoa(longLength)+"\n\n"+strings.Repeat("y", longLength))
		}
	})
	c := newCaller(s)
	ctx, cancel := context.WithCancel(t.Context())
	unused := c.download(ctx)
	cancel()
	wantStatus(t, "next", c.download(t.Context()), http.StatusOK)
	if err := unused.Tail.Copy(t.Context(), io.Discard); err == nil {
		t.Error("got no error from the dropped answer, want one")
	}
}
