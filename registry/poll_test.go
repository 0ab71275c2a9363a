package registry_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore/registry"
	"github.com/magnoliashore/magnoliashore/timer"
)

// countingListener counts the bytes of its connections, in both directions.
type countingListener struct {
	net.Listener

	bytes atomic.Int64
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

// Read reads and counts.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

const (
	// maxFollowers is the most hosts that follow one host of a zone, and polls are the
	// least time between two calls of each.
	maxFollowers = 8
	pollPeriod   = registry.LongPollTime + 100*time.Millisecond
	// controlBytes is what a host may spend on control in a second, and membershipBytes
	// what the membership takes of it, sent and received, while nothing changes.
	controlBytes    = 7 << 10
	membershipBytes = 1 << 10
	// packetBytes is the size of the headers of a call's four packets.
	packetBytes = 4 * 52
)

// TestPollsFitTheControlTraffic guards against polls that take more than a host may spend
// on control: those of its followers and its own, while nothing changes, beside the
// membership.
func TestPollsFitTheControlTraffic(t *testing.T) {
	t.Parallel()
	reader := &registry.Reader{
		Table: newTable(), Source: &scriptedSource{answers: []registry.Batch{batch(1, item("a1", "target s ready", 1))}}, Timer: &timer.Service{},
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	go func() { _ = reader.Run(t.Context()) }()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: l}
	server := &httptest.Server{Listener: counting, Config: &http.Server{Handler: &registry.Server{Reader: reader}, ReadHeaderTimeout: time.Second}}
	server.Start()
	t.Cleanup(server.Close)
	peer := &registry.Peer{Address: strings.TrimPrefix(server.URL, "http://"), Client: registry.NewPeerClient(), MaxHops: 1}
	for reader.Position().IsZero() {
		time.Sleep(time.Millisecond)
	}
	const calls = 20
	for range calls {
		if _, err := peer.Watch(t.Context(), reader.Position(), false); err != nil {
			t.Fatal(err)
		}
	}
	perCall := float64(counting.bytes.Load())/calls + packetBytes
	perSecond := (maxFollowers + 1) * perCall / pollPeriod.Seconds()
	if want := float64(controlBytes - membershipBytes); perSecond > want {
		t.Errorf("got %.0f bytes a call and %.0f a second from %d followers, want at most %.0f", perCall, perSecond, maxFollowers, want)
	}
	t.Logf("%.0f bytes a call, %.0f a second", perCall, perSecond)
}
