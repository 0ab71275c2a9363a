package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/origin"
	"github.com/magnoliashore/magnoliashore/retry"
	"github.com/magnoliashore/magnoliashore/scatter"
)

// startTarget starts a target that counts the requests it has read. If resets is
// set, it resets a connection at its second request, like a middlebox that has
// silently dropped the idle connection.
func startTarget(t *testing.T, id magnoliashore.TargetID, resets bool, reads *atomic.Int32) *catalog.Target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for i := 0; i == 0 || !resets; i++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					reads.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 2\r\n\r\nok")
				}
				_, _ = r.ReadByte()
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}()
		}
	}()
	return catalog.NewTarget(catalog.TargetSpec{ID: id, Service: "s", Zone: "a", Slots: 2, Address: l.Addr().String()})
}

// TestIdleConnectionsDropped sends requests on idle connections that are reset on
// reuse. Another target must answer repeatable requests. Requests that may run at
// most once must not be sent again and must be reported as possibly run.
func TestIdleConnectionsDropped(t *testing.T) {
	t.Parallel()
	for _, atMostOnce := range []bool{false, true} {
		var reads atomic.Int32
		view := catalog.NewView(nil, []*catalog.Target{startTarget(t, "t1", true, &reads), startTarget(t, "t2", false, &reads)})
		e := testEngine(view, retry.Limit{})
		e.Pool = &origin.Pool{Dialect: fixedReply{}, Timer: e.Timer, MaxBody: 1 << 10}
		answered, ran := 0, 0
		const requests = 20
		for range requests {
			now := time.Now()
			r := e.start(t.Context(), &query{
				request: origin.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "a"},
				kind:    "k", services: []magnoliashore.ServiceName{"s"}, deadline: now.Add(2 * time.Second), received: now,
				params: scatter.Params{Shards: 1, MinShards: 1, MaxAttempts: 2, Timeout: 2 * time.Second, AtMostOnce: atMostOnce},
			})
			decision, _ := r.wait(t.Context())
			r.cancel()
			switch {
			case decision == scatter.Answer:
				answered++
			case r.progress.MayHaveRun():
				ran++
			default:
				t.Errorf("at most once %t: got a request reported as not run, want possibly run: %s", atMostOnce, r.failureSummary())
			}
		}
		if !atMostOnce && answered < requests {
			t.Errorf("got %d of %d repeatable requests answered, want all", answered, requests)
		}
		if atMostOnce && (int(reads.Load()) != answered || ran == 0) {
			t.Errorf("got %d requests read by targets, %d answered, %d possibly run, want none sent again", reads.Load(), answered, ran)
		}
	}
}

// fixedReply is a dialect that ignores the headers of replies.
type fixedReply struct{ signedDialect }

func (fixedReply) Reply(int, http.Header) magnoliashore.TargetReply {
	return magnoliashore.TargetReply{}
}
