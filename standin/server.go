package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
)

func listen(ctx context.Context, addr string) (net.Listener, error) {
	if addr == "" {
		addr = defaultAddress
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr)
	return listener, magnoliashore.Step(err, "listen", addr)
}

func listenerAddr(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	done     chan error
}

func newServer(handler http.Handler) *server {
	return &server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done: make(chan error, 1),
	}
}

func serve(listener net.Listener, handler http.Handler) *server {
	s := newServer(handler)
	s.start(listener)
	return s
}

func (s *server) start(listener net.Listener) {
	s.listener = listener
	go func() { s.done <- s.http.Serve(&tcp.Acceptor{Listener: listener, Timer: &timer.Service{}}) }()
}

// waitForServers returns nil when ctx ends, or the error of the first server
// that ends by itself.
func waitForServers(ctx context.Context, servers []*server) error {
	ended := make(chan error, len(servers))
	for _, s := range servers {
		go func() { ended <- <-s.done }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return magnoliashore.Step(err, "serve", "")
	}
}

// shutdown waits for active calls and closes the connections of those that
// exceed shutdownTimeout.
func shutdown(servers []*server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.listener.Close() // Shutdown does not close it if Serve has not registered it yet
		if err := s.http.Shutdown(ctx); err != nil {
			_ = s.http.Close()
		}
	}
}

// close closes the listener and all connections immediately.
func (s *server) close() {
	_ = s.listener.Close()
	_ = s.http.Close()
}
