package origin_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/timer"
)

// dialect is a minimal Dialect for the tests.
type dialect struct{}

func (dialect) Caller(http.Header) magnoliashore.CallerParams { return magnoliashore.CallerParams{} }

func (dialect) Order(h http.Header, terms magnoliashore.TargetParams) {
	h.Set("To", string(terms.Target))
}

func (dialect) Reply(_ int, h http.Header) magnoliashore.TargetReply {
	return magnoliashore.TargetReply{RequestID: h.Get("Echo"), Signature: h.Get("Proof"), NotRun: h.Get("Refused") != ""}
}

func (dialect) Coverage(http.Header, []string, int) {}

func (dialect) Signature(proof string) bool { return proof != "" }

// fakeTarget is a target that runs a test's function for each connection.
type fakeTarget struct {
	listener net.Listener
	opened   atomic.Int32 // accepted connections
}

// startTarget starts a target that calls serve for each connection; n counts them
// from 1.
func startTarget(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeTarget{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.opened.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *fakeTarget) target() *catalog.Target {
	return catalog.NewTarget(catalog.TargetSpec{ID: "t1", Address: s.listener.Addr().String(), Slots: 2})
}

// readRequest reads a request and returns its ID and body.
func readRequest(r *bufio.Reader) (string, string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	body, err := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(body), err == nil
}

// reply writes text with its line ends changed to CRLF.
func reply(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

// echoIDs answers each request and echoes its ID.
func echoIDs(_ int, c net.Conn, r *bufio.Reader) {
	for {
		id, _, ok := readRequest(r)
		if !ok {
			return
		}
		reply(c, "HTTP/1.1 200 OK\nEcho: "+id+"\nProof: p-"+id+"\nContent-Length: 2\n\nok")
	}
}

type caller struct {
	pool           *origin.Pool
	target         *catalog.Target
	maxConnections int
	withdraw       <-chan struct{}
}

func newCaller(s *fakeTarget) *caller {
	return &caller{pool: &origin.Pool{Dialect: dialect{}, Timer: &timer.Service{}, MaxBody: 1 << 20}, target: s.target(), maxConnections: 2}
}

func (c *caller) do(ctx context.Context, id, body string) origin.Result {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	return c.pool.Do(ctx, origin.Request{
		Method: method, URI: "/x/?q=%2f", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body), ID: id,
	}, origin.Attempt{Target: c.target, Timeout: time.Second, MaxConnections: c.maxConnections, MaxWaiting: 1, Withdraw: c.withdraw})
}

func wantStatus(t *testing.T, what string, got origin.Result, want int) {
	t.Helper()
	if got.Status != want {
		t.Errorf("%s: got status %d (%v), want %d", what, got.Status, got.Err, want)
	}
}

func TestConnectionIsReused(t *testing.T) {
	t.Parallel()
	s := startTarget(t, echoIDs)
	c := newCaller(s)
	for _, id := range []string{"a", "b", "c"} {
		got := c.do(t.Context(), id, "")
		wantStatus(t, id, got, http.StatusOK)
		if got.Reply.RequestID != id || string(got.Body) != "ok" {
			t.Errorf("got answer %q to %q with body %q, want the one to its own request", got.Reply.RequestID, id, got.Body)
		}
	}
	if got := s.opened.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestFaultyAnswers checks single answers, complete and faulty, and how they are
// classified.
func TestFaultyAnswers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		answer string
		status int
		notRun bool
	}{
		{"complete by length", "HTTP/1.1 200 OK\nEcho: a\nContent-Length: 2\n\nok", 200, false},
		{"complete by chunks", "HTTP/1.1 200 OK\nEcho: a\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n", 200, false},
		{"complete by a clean end", "HTTP/1.1 200 OK\nEcho: a\n\nok", 200, false},
		{"cut short", "HTTP/1.1 200 OK\nEcho: a\nContent-Length: 20\n\nok", 0, false},
		{"cut between chunks", "HTTP/1.1 200 OK\nEcho: a\nTransfer-Encoding: chunked\n\n2\nok\n", 0, false},
		{"no answer in the protocol", "\x00\x01garbage", 0, false},
		{"interim answers first", "HTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 200 OK\nEcho: a\nContent-Length: 2\n\nok", 200, false},
		{"no answer at all", "", 0, false},
		{"a refusal", "HTTP/1.1 503 Service Unavailable\nRefused: 1\nContent-Length: 0\n\n", 503, true},
		{"an answer to another request first", "HTTP/1.1 200 OK\nEcho: z\nContent-Length: 1\n\nzHTTP/1.1 200 OK\nEcho: a\nContent-Length: 2\n\nok", 200, false},
		{"only answers to another request", "HTTP/1.1 200 OK\nEcho: z\nContent-Length: 1\n\nz", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					reply(c, test.answer)
				}
			})
			got := newCaller(s).do(t.Context(), "a", "")
			wantStatus(t, "answer", got, test.status)
			if got.NotRun() != test.notRun {
				t.Errorf("got not run %t, want %t", got.NotRun(), test.notRun)
			}
			if test.status == http.StatusOK && string(got.Body) != "ok" {
				t.Errorf("got body %q, want %q", got.Body, "ok")
			}
		})
	}
}

// TestResetAnswerIsNotComplete resets the connection during an answer that is
// delimited by the end of the connection: it must not count as complete.
func TestResetAnswerIsNotComplete(t *testing.T) {
	t.Parallel()
	s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); !ok {
			return
		}
		reply(c, "HTTP/1.1 200 OK\nEcho: a\n\nok")
		time.Sleep(20 * time.Millisecond)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	wantStatus(t, "reset", newCaller(s).do(t.Context(), "a", ""), 0)
}

// TestRepeatedAnswerIsSkipped sends an answer a second time, late and without an
// echo: the copy must not be used as the answer to the next request.
func TestRepeatedAnswerIsSkipped(t *testing.T) {
	t.Parallel()
	s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for _, body := range []string{"first", "other"} {
			if _, _, ok := readRequest(r); !ok {
				return
			}
			if body == "other" {
				reply(c, "HTTP/1.1 200 OK\nProof: p-first\nContent-Length: 5\n\nfirst")
			}
			reply(c, "HTTP/1.1 200 OK\nProof: p-"+body+"\nContent-Length: 5\n\n"+body)
		}
	})
	c := newCaller(s)
	wantStatus(t, "first", c.do(t.Context(), "a", ""), http.StatusOK)
	if got := c.do(t.Context(), "b", ""); string(got.Body) != "other" {
		t.Errorf("got body %q, want %q", got.Body, "other")
	}
}

// TestConnectionWithUnreadBytesIsNotReused sends extra bytes after an answer: the
// next request must use another connection.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	t.Parallel()
	s := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echoIDs(n, c, r)
			return
		}
		if id, _, ok := readRequest(r); ok {
			reply(c, "HTTP/1.1 200 OK\nEcho: "+id+"\nContent-Length: 2\n\nokextra")
			_, _, _ = readRequest(r)
		}
	})
	c := newCaller(s)
	wantStatus(t, "first", c.do(t.Context(), "a", ""), http.StatusOK)
	time.Sleep(20 * time.Millisecond)
	wantStatus(t, "second", c.do(t.Context(), "b", ""), http.StatusOK)
	if got := s.opened.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// TestClosedIdleConnectionIsNotReused has the target close an idle connection: the
// next request must not be sent on it.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	t.Parallel()
	s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if id, _, ok := readRequest(r); ok {
			reply(c, "HTTP/1.1 200 OK\nEcho: "+id+"\nContent-Length: 2\n\nok")
		}
	})
	c := newCaller(s)
	for _, id := range []string{"a", "b", "c"} {
		wantStatus(t, id, c.do(t.Context(), id, "body"), http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestAnswerBeforeBodyIsRead has the target answer a long request before it reads
// the body: the connection must still carry the next request.
func TestAnswerBeforeBodyIsRead(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 4<<20)
	bodies := make(chan int, 2)
	answered := make(chan struct{}, 2) // receives a value when the caller has the answer
	s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			reply(c, "HTTP/1.1 429 Too Many Requests\nRefused: 1\nContent-Length: 0\n\n")
			<-answered
			body, _ := io.ReadAll(req.Body)
			bodies <- len(body)
		}
	})
	c := newCaller(s)
	for _, id := range []string{"a", "b"} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		wantStatus(t, id, c.do(ctx, id, long), http.StatusTooManyRequests)
		cancel()
		answered <- struct{}{}
		if got := <-bodies; got != len(long) {
			t.Errorf("target read %d bytes, want %d", got, len(long))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := s.opened.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestCancelClosesTheConnection cancels a request that the target has read: the
// target must see the connection close.
func TestCancelClosesTheConnection(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan struct{})
	s := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); ok {
			cancel()
			_, _ = r.ReadByte()
			close(left)
		}
	})
	got := newCaller(s).do(ctx, "a", "")
	if got.Status != 0 || got.NotRun() {
		t.Errorf("got status %d and not run %t, want no answer to a request that may have run", got.Status, got.NotRun())
	}
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Error("target did not see the close, want it at once")
	}
}

// TestConnectionLimit makes more requests than the connection limit allows: one
// waits, and the one beyond the waiting limit is refused without being sent.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		<-release
		echoIDs(n, c, r)
	})
	c := newCaller(s)
	results := make(chan origin.Result, 4)
	for _, id := range []string{"a", "b", "c", "d"} {
		go func() { results <- c.do(t.Context(), id, "") }()
	}
	refused := <-results
	if refused.Status != 0 || !refused.NotRun() {
		t.Errorf("got status %d and not run %t, want a refusal without a send", refused.Status, refused.NotRun())
	}
	close(release)
	for range 3 {
		wantStatus(t, "waiting", <-results, http.StatusOK)
	}
	if got := s.opened.Load(); got != 2 {
		t.Errorf("got %d connections, want the limit of 2", got)
	}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	t.Parallel()
	s := startTarget(t, echoIDs)
	_ = s.listener.Close()
	if got := newCaller(s).do(t.Context(), "a", ""); !got.NotRun() {
		t.Error("got that the request may have run, want that it has not")
	}
}
