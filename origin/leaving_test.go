package origin_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// leavingDialect reads the header fields of targets that leave.
type leavingDialect struct{ dialect }

func (leavingDialect) Reply(status int, h http.Header) magnoliashore.TargetReply {
	reply := dialect{}.Reply(status, h)
	reply.Leaving, reply.Instance = h.Get("Leaving") != "", h.Get("Instance")
	reply.Misdirected = status == http.StatusMisdirectedRequest
	return reply
}

// TestLeavingTargetIsOverheard guards against a target that says that it leaves in an
// answer which is not the caller's in the end, and gets further requests: in a refusal, a
// failure, an answer that breaks off or is skipped, an interim one. What another process
// at its address says is no word of its own.
func TestLeavingTargetIsOverheard(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		answer string
		want   bool
	}{
		{"a success", "HTTP/1.1 200 OK\nLeaving: 1\nContent-Length: 0\n\n", true},
		{"a refusal", "HTTP/1.1 503 Busy\nRefused: 1\nLeaving: 1\nContent-Length: 0\n\n", true},
		{"a failure", "HTTP/1.1 500 Failure\nLeaving: 1\nContent-Length: 0\n\n", true},
		{"a body that breaks off", "HTTP/1.1 200 OK\nLeaving: 1\nContent-Length: 9\n\nabc", true},
		{"a body without end", "HTTP/1.1 200 OK\nLeaving: 1\nTransfer-Encoding: chunked\n\n3\nabc\n", true},
		{"an answer to another request", "HTTP/1.1 200 OK\nEcho: other\nLeaving: 1\nContent-Length: 0\n\n", true},
		{"an interim answer", "HTTP/1.1 103 Early Hints\nLeaving: 1\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n", true},
		{"no word of it", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", false},
		{"another target", "HTTP/1.1 421 Misdirected\nInstance: other\nLeaving: 1\nContent-Length: 0\n\n", false},
		{"another target without a name", "HTTP/1.1 421 Misdirected\nLeaving: 1\nContent-Length: 0\n\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					reply(c, test.answer)
				}
			})
			caller := newCaller(s)
			var heard atomic.Bool
			caller.pool.Dialect = leavingDialect{}
			caller.pool.OnLeaving = func(*catalog.Target) { heard.Store(true) }
			caller.do(t.Context(), "a", "")
			if got := heard.Load(); got != test.want {
				t.Errorf("got departure heard %t, want %t", got, test.want)
			}
		})
	}
}

// TestMisdirectedRequest checks that a 421 counts as a refusal only if it names another
// target than the one that the request was meant for.
func TestMisdirectedRequest(t *testing.T) {
	t.Parallel()
	for answer, want := range map[string]bool{
		"HTTP/1.1 421 Misdirected\nInstance: other\nContent-Length: 0\n\n":    true,
		"HTTP/1.1 421 Misdirected\nRefused: 1\nContent-Length: 0\n\n":         true,
		"HTTP/1.1 421 Misdirected\nContent-Length: 0\n\n":                     false,
		"HTTP/1.1 421 Misdirected\nInstance: t1\nContent-Length: 0\n\n":       false,
		"HTTP/1.1 503 Unavailable\nInstance: other\nContent-Length: 0\n\n":    false,
		"HTTP/1.1 200 OK\nInstance: other\nProof: p.1\nContent-Length: 0\n\n": false,
	} {
		s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); ok {
				reply(c, answer)
			}
		})
		caller := newCaller(s)
		caller.pool.Dialect = leavingDialect{}
		if got := caller.do(t.Context(), "a", "").NotRun(); got != want {
			t.Errorf("%q: got refusal %t, want %t", answer, got, want)
		}
	}
}
