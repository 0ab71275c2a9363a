// Package httpd runs an HTTP server with a graceful shutdown.
package httpd

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Server serves HTTP on one address. The zero value is ready to use.
type Server struct {
	mu        sync.Mutex
	addr      string
	listening chan struct{}
}

// Run serves on the "ip:port" address until ctx ends. Then it stops accepting
// connections, waits at most drain for the requests in flight, and closes the
// remaining connections. It returns nil if all requests have finished.
func (s *Server) Run(ctx context.Context, address string, server *http.Server, drain time.Duration) error {
	config := tcp.ListenConfig(0)
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return magnoliashore.Step(err, "listen", address)
	}
	s.setListening(listener.Addr().String())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(&tcp.Acceptor{Listener: listener, Timer: &timer.Service{}}) }()
	select {
	case err := <-serveErr:
		return magnoliashore.Step(err, "serve", s.Addr())
	case <-ctx.Done():
	}
	return shutdown(server, s.Addr(), drain)
}

// Addr returns the address that the server listens on. It is empty until the
// channel from Listening is closed.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Listening returns a channel that is closed once the server listens.
func (s *Server) Listening() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listeningChan()
}

func (s *Server) setListening(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = addr
	close(s.listeningChan())
}

func (s *Server) listeningChan() chan struct{} {
	if s.listening == nil {
		s.listening = make(chan struct{})
	}
	return s.listening
}

// shutdown waits at most drain for the requests in flight and then closes the
// remaining connections.
func shutdown(server *http.Server, addr string, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return magnoliashore.Step(errors.Join(err, server.Close()), "shut down", addr)
}
