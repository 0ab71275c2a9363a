package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// conns tracks the open connections of a target.
type conns struct {
	limit int // zero means no limit

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConns(limit int) *conns {
	return &conns{limit: limit, open: make(map[*conn]struct{})}
}

// add registers a connection; it returns false if the limit is reached.
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

// closeConns closes the idle connections and, with includeBusy, the busy ones.
func (c *conns) closeConns(includeBusy bool) {
	c.mu.Lock()
	closing := make([]*conn, 0, len(c.open))
	for opened := range c.open {
		if includeBusy || !opened.busy.Load() {
			closing = append(closing, opened)
		}
	}
	c.mu.Unlock()
	for _, opened := range closing {
		_ = opened.Close()
	}
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	conns      *conns
	generation uint64      // generation of the target that accepted the connection
	busy       atomic.Bool // a request is in progress
	delayed    bool        // the connection delay was applied; needs no lock, since one handler runs at a time
	closeOnce  sync.Once
}

// Close closes the connection and removes it from conns.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.conns.remove(c) })
	return c.Conn.Close()
}

// limitListener closes accepted connections that exceed the limit.
type limitListener struct {
	net.Listener
	conns *conns
	state *targetState
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		opened := &conn{Conn: accepted, conns: l.conns, generation: l.state.currentGeneration()}
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

func connFrom(ctx context.Context) *conn {
	opened, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return &conn{}
	}
	return opened
}
