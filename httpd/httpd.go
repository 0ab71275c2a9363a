// Package httpd provides an HTTP server that stops gracefully.
package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// Server serves HTTP on one address. The zero Server is ready.
type Server struct {
	mu        sync.Mutex
	addr      string
	listening chan struct{}
}

// Run serves on the "ip:port" address until ctx ends. Then it accepts nothing
// more, lets the requests in flight finish for at most drain, and returns nil.
// Any other error says why it could not serve.
func (s *Server) Run(ctx context.Context, address string, server *http.Server, drain time.Duration) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return magnoliashore.Step(err, "listen", address)
	}
	s.announce(listener.Addr().String())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return magnoliashore.Step(err, "serve", s.Addr())
	case <-ctx.Done():
	}
	return shutdown(server, s.Addr(), drain)
}

// Addr returns the address listened on, after Listening is closed.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Listening returns a channel that is closed when the server accepts
// connections.
func (s *Server) Listening() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.channel()
}

func (s *Server) announce(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = addr
	close(s.channel())
}

func (s *Server) channel() chan struct{} {
	if s.listening == nil {
		s.listening = make(chan struct{})
	}
	return s.listening
}

// shutdown waits for the requests in flight.
func shutdown(server *http.Server, addr string, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return magnoliashore.Step(errors.Join(err, server.Close()), "shut down", addr)
}
