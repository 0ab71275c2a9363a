package operator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// Bounds of a connection to an operator.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	drainTimeout = 5 * time.Second
	maxHeader    = 16 << 10 // bytes
)

// Server shows the admin pages of an entry host. Set the fields before Run;
// the functions are called from many goroutines.
type Server struct {
	Address string                       // "ip:port" to listen on
	Clock   magnoliashore.Clock          // dates the status
	Events  func() []magnoliashore.Event // kept events, the oldest first
	Ready   func() bool                  // whether the host can answer queries
	Leaving func() bool                  // whether the host is shutting down
	View    func() magnoliashore.View    // configuration in force
	Status  func() Status                // state of the host

	mu        sync.Mutex
	addr      string
	listening chan struct{}
}

// Run serves the pages until ctx ends, then lets the requests in flight finish
// and returns nil. Any other error says why it could not serve.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return magnoliashore.Step(err, "listen", s.Address)
	}
	s.announce(listener.Addr().String())
	server := &http.Server{
		Handler:        s.pages(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return magnoliashore.Step(err, "serve", s.Addr())
	case <-ctx.Done():
	}
	return shutdown(server, s.Addr())
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

func shutdown(server *http.Server, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return magnoliashore.Step(errors.Join(err, server.Close()), "shut down", addr)
}
