package origin_test

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// TestEndedTargetsAreToldApart guards against a target that counts as ended because
// connections to it were reset, and against one that has ended and is not found out.
func TestEndedTargetsAreToldApart(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		after func(s *fakeTarget, ending chan<- *fakeTarget) // after a request broke off
		want  bool
	}{
		{"a connection was cut", func(*fakeTarget, chan<- *fakeTarget) {}, false},
		{"the process ended", func(s *fakeTarget, _ chan<- *fakeTarget) { _ = s.listener.Close() }, true},
		{"the process ends a moment later", func(s *fakeTarget, ending chan<- *fakeTarget) { ending <- s }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ending := make(chan *fakeTarget, 1)
			s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				select {
				case s := <-ending:
					time.Sleep(10 * time.Millisecond)
					_ = s.listener.Close()
				default:
					_, _, _ = readRequest(r)
				}
			})
			c := newCaller(s)
			got := c.do(t.Context(), "a", "")
			if !got.Broken() {
				t.Fatalf("got %+v, want a broken connection", got)
			}
			if got.Target != c.target {
				t.Errorf("got target %v in the result, want the one of the attempt", got.Target)
			}
			test.after(s, ending)
			if got := c.pool.HasEnded(t.Context(), c.target, 2); got != test.want {
				t.Errorf("got ended %t, want %t", got, test.want)
			}
		})
	}
}

// TestAnsweredRequestsAreNotBroken checks that answers, complete or not in the
// protocol, do not count as the end of a target.
func TestAnsweredRequestsAreNotBroken(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, answer string
		want         bool
	}{
		{"complete", "HTTP/1.1 200 OK\nEcho: a\nContent-Length: 2\n\nok", false},
		{"a failure", "HTTP/1.1 500 Internal Server Error\nEcho: a\nContent-Length: 0\n\n", false},
		{"no answer in the protocol", "\x00\x01garbage\n\n", false},
		{"cut short", "HTTP/1.1 200 OK\nEcho: a\nContent-Length: 20\n\nok", true},
		{"nothing", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					reply(c, test.answer)
				}
			})
			if got := newCaller(s).do(t.Context(), "a", ""); got.Broken() != test.want {
				t.Errorf("got broken %t (%v), want %t", got.Broken(), got.Err, test.want)
			}
		})
	}
}
