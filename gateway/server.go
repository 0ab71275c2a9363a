package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/httpd"
)

const (
	// Limits that apply until a configuration sets others.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 16 << 10
)

// callerServer accepts the connections of callers. The limits of a connection are set
// when it is accepted; if they change, open connections are closed after their next
// answer, or soon if they stay idle.
type callerServer struct {
	handler http.Handler
	conns   *callerConns

	mu      sync.Mutex
	limits  catalog.Limits
	current *connListener
	servers []*http.Server
	stopped bool
}

// connListener is a listener whose connections were accepted by another one.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

// Accept returns the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address at which the connections were accepted.
func (l *connListener) Addr() net.Addr { return l.addr }

// run accepts connections until the listener is closed.
func (f *callerServer) run(listener net.Listener) error {
	f.mu.Lock()
	f.serve(listener.Addr())
	f.mu.Unlock()
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return magnoliashore.Step(err, "accept callers", listener.Addr().String())
		}
		if conn := f.conns.add(c); conn != nil {
			f.pass(conn)
		}
	}
}

// pass passes a connection to the current server.
func (f *callerServer) pass(c *callerConn) {
	f.conns.stamp(c)
	f.mu.Lock()
	current := f.current
	f.mu.Unlock()
	select {
	case current.conns <- c:
	case <-current.done:
		_ = c.Close()
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ServeHTTP serves a request, unless its connection was closed to make room. It has the
// connection closed after the answer if it should not be kept.
func (f *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if ok && !c.begin() {
		panic(http.ErrAbortHandler)
	}
	if ok && !f.conns.mayStay(c) {
		w.Header().Set("Connection", "close")
	}
	f.handler.ServeHTTP(w, r)
}

// setLimits sets the limits of new connections, and replaces those that are open.
func (f *callerServer) setLimits(limits catalog.Limits) {
	if f.replace(limits) {
		f.conns.renew()
	}
}

// replace starts a server with limits for new connections, unless they are those of the
// current one. It reports whether there are older connections.
func (f *callerServer) replace(limits catalog.Limits) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limits == f.limits {
		return false
	}
	f.limits = limits
	if f.current == nil || f.stopped {
		return false
	}
	f.serve(f.current.addr)
	return true
}

// serve starts a server with the current limits. The caller holds mu.
func (f *callerServer) serve(addr net.Addr) {
	server := &http.Server{
		Handler:           httpd.Answered(f),
		ReadHeaderTimeout: valueOr(f.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       valueOr(f.limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    valueOr(f.limits.HeaderBytes, defaultHeaderBytes),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*callerConn); ok {
				conn.observe(state)
			}
		},
	}
	listener := &connListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
	f.current = listener
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
}

func valueOr[T comparable](value, other T) T {
	var zero T
	if value == zero {
		return other
	}
	return value
}

// shutdown waits for the requests in flight, until ctx ends.
func (f *callerServer) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.stopped = true
	servers := f.servers
	f.mu.Unlock()
	var err error
	for _, s := range servers {
		err = errors.CombineErrors(err, s.Shutdown(ctx))
	}
	return err
}

// close closes all connections.
func (f *callerServer) close() error {
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	var err error
	for _, s := range servers {
		err = errors.CombineErrors(err, s.Close())
	}
	return err
}
