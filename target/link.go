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
	writeBuffer = 16 << 10 // bytes; a request up to this size is one write
	headerLimit = 32 << 10 // bytes of reply headers
	// idleTime is how long a connection may be unused. It ends before targets
	// usually close one, which would look like the end of their process.
	idleTime = 2 * time.Second
)

// link is the set of connections to one target at one address.
type link struct {
	target    magnoliashore.Target
	conns     int
	clock     magnoliashore.Clock
	wait      time.Duration // how long a dial may take
	release   time.Duration // how long a closed connection waits for the target
	dialer    net.Dialer
	transport *http.Transport
	watch     *watch
	quota     *quota
	retired   atomic.Bool

	mu   sync.Mutex
	open map[*conn]struct{}
}

// newLink returns a link with no connection yet.
func (p *Pool) newLink(t magnoliashore.Target, conns int, b *book) *link {
	l := &link{
		target:  t,
		conns:   conns,
		clock:   p.Clock,
		wait:    p.dial(),
		release: p.release(),
		dialer:  net.Dialer{Control: tcp.Control(p.UserTimeout)},
		watch:   &watch{notes: b.notes},
		quota:   b.quota,
		open:    make(map[*conn]struct{}),
	}
	l.transport = &http.Transport{
		DialContext:            l.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		MaxResponseHeaderBytes: headerLimit,
		WriteBufferSize:        writeBuffer,
		IdleConnTimeout:        idleTime,
	}
	return l
}

// dial opens a connection inside the target's limit. The transport goes on
// dialing when the request that caused it has ended.
func (l *link) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.wait)
	defer cancel()
	if err := l.quota.take(ctx, l.conns); err != nil {
		return nil, magnoliashore.Step(err, "wait for a connection", l.target.Address())
	}
	raw, err := l.connect(ctx, network)
	if err != nil {
		l.quota.give()
		return nil, magnoliashore.Step(err, "dial target", l.target.Address())
	}
	l.sweep()
	c := &conn{
		Conn: raw, link: l, opened: l.clock.Now(), era: l.watch.notes.broken.Load(), done: make(chan struct{}),
	}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	l.quota.opened()
	l.watch.opened()
	return c, nil
}

// sweep notes connections that the target has ended but that nobody has read
// from since. A new connection may reach a new process of the target, which is
// known only by the end of the connections to the one before.
func (l *link) sweep() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		if ended(c.Conn) {
			c.fail(io.EOF)
		}
	}
}

// forget takes a connection that does not stand any more off the list.
func (l *link) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connect opens a connection. It goes on when ctx is cancelled: the target may
// hold the connection already, and an abandoned one would have no place in the
// target's limit.
func (l *link) connect(ctx context.Context, network string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.wait)
	defer cancel()
	return l.dialer.DialContext(ctx, network, l.target.Address())
}

// retire ends new work; what runs may finish.
func (l *link) retire() {
	l.retired.Store(true)
	l.watch.retire()
	l.transport.CloseIdleConnections()
}

// leave ends one use of the link.
func (l *link) leave() {
	if l.retired.Load() {
		l.transport.CloseIdleConnections()
	}
}
