package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// conns counts the connections of a target and can cut them.
type conns struct {
	limit int // zero means none

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConns(limit int) *conns {
	return &conns{limit: limit, open: make(map[*conn]struct{})}
}

// add returns false if the target has all the connections it accepts.
func (c *conns) add(opened *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && len(c.open) >= c.limit {
		return false
	}
	c.open[opened] = struct{}{}
	return true
}

func (c *conns) remove(closed *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, closed)
}

func (c *conns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// cut closes the idle connections, and with all also the busy ones.
func (c *conns) cut(all bool) {
	c.mu.Lock()
	doomed := make([]*conn, 0, len(c.open))
	for opened := range c.open {
		if all || !opened.busy.Load() {
			doomed = append(doomed, opened)
		}
	}
	c.mu.Unlock()
	for _, opened := range doomed {
		_ = opened.Close()
	}
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	conns      *conns
	generation uint64      // process of the target that accepted it
	busy       atomic.Bool // a request is being handled
	used       bool        // a reply was sent; one handler at a time sees it
	once       sync.Once
}

// Close closes the connection and takes it out of the count.
func (c *conn) Close() error {
	c.once.Do(func() { c.conns.remove(c) })
	return c.Conn.Close()
}

// limitListener closes connections over the limit at accept.
type limitListener struct {
	net.Listener
	conns *conns
	core  *core
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		opened := &conn{Conn: accepted, conns: l.conns, generation: l.core.generationNow()}
		if l.conns.add(opened) {
			return opened, nil
		}
		_ = accepted.Close()
	}
}

type connKey struct{}

func withConn(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, accepted)
}

func connOf(ctx context.Context) *conn {
	opened, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return &conn{}
	}
	return opened
}
