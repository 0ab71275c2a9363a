package target

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
)

const (
	writeBufferSize = 16 << 10 // bytes; a request up to this size is sent in one write
	maxHeaderBytes  = 32 << 10 // bytes of reply headers
	// idleTimeout is how long a connection may be unused. It is shorter than
	// the usual idle timeout of targets, because a close by the target looks
	// like the end of its process.
	idleTimeout = 2 * time.Second
)

// link holds the connections to one target at one address.
type link struct {
	target         magnoliashore.Target
	maxConns       int
	clock          magnoliashore.Clock
	dialTimeout    time.Duration
	releaseTimeout time.Duration // how long a closed connection waits for the target to close its side
	dialer         *net.Dialer
	transport      *http.Transport
	counter        *connCounter
	quota          *quota
	retired        atomic.Bool // takes no new work

	mu    sync.Mutex
	conns map[*conn]struct{} // open connections
}

// newLink returns a link without connections.
func (p *Pool) newLink(t magnoliashore.Target, maxConns int, e *entry) *link {
	l := &link{
		target:         t,
		maxConns:       maxConns,
		clock:          p.Clock,
		dialTimeout:    p.dialTimeout(),
		releaseTimeout: p.releaseTimeout(),
		dialer:         tcp.Dialer(0, p.UserTimeout),
		counter:        &connCounter{notifier: e.notifier},
		quota:          e.quota,
		conns:          make(map[*conn]struct{}),
	}
	l.transport = &http.Transport{
		DialContext:            l.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufferSize,
		IdleConnTimeout:        idleTimeout,
	}
	return l
}

// dial opens a connection within the target's connection limit. The transport
// continues a dial after the request that caused it has ended.
func (l *link) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.dialTimeout)
	defer cancel()
	if err := l.quota.acquire(ctx, l.maxConns); err != nil {
		return nil, magnoliashore.Step(err, "wait for a connection", l.target.Address())
	}
	raw, err := l.connect(ctx, network)
	if err != nil {
		l.quota.release()
		return nil, magnoliashore.Step(err, "dial target", l.target.Address())
	}
	l.reportEndedConns()
	c := &conn{
		Conn: raw, link: l, opened: l.clock.Now(), breaksAtOpen: l.counter.notifier.breaks.Load(), released: make(chan struct{}),
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	l.quota.opened()
	l.counter.opened()
	return c, nil
}

// reportEndedConns marks the connections as broken that the target has ended
// but whose end has not been read yet. A new connection may reach a new
// process of the target, and the end of the connections to the old process is
// the only sign of that.
func (l *link) reportEndedConns() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range open {
		if atEOF(c.Conn) {
			c.markBroken(io.EOF)
		}
	}
}

// remove removes a connection that is no longer open.
func (l *link) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// connect opens a connection. It continues after ctx is cancelled: the target
// may already hold the connection, and an abandoned connection would not count
// against the target's limit.
func (l *link) connect(ctx context.Context, network string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.dialTimeout)
	defer cancel()
	return l.dialer.DialContext(ctx, network, l.target.Address())
}

// retire stops new work. Requests in flight may finish.
func (l *link) retire() {
	l.retired.Store(true)
	l.counter.retire()
	l.transport.CloseIdleConnections()
}

// endUse is called when a request on the link has ended. It closes the idle
// connections of a retired link.
func (l *link) endUse() {
	if l.retired.Load() {
		l.transport.CloseIdleConnections()
	}
}
