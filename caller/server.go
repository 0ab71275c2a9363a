// Package caller provides the HTTP API of an entry host towards callers.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// Bounds of a connection to a caller.
const (
	headerTimeout = 5 * time.Second  // to send the header of a request
	readTimeout   = 2 * time.Minute  // for a whole request; ends after the longest deadline
	writeTimeout  = 2 * time.Minute  // for a whole exchange
	idleTimeout   = 2 * time.Minute  // between requests
	drainTimeout  = 65 * time.Second // for requests in flight; above the longest deadline
	maxHeader     = 16 << 10         // bytes
	defaultLimit  = 1 << 20          // bytes of a body
)

// Server answers callers. Set the fields before Run.
type Server struct {
	Address string               // "ip:port" to listen on
	Engine  magnoliashore.Engine // answers the queries
	Clock   magnoliashore.Clock  // sets the deadlines
	Limit   int                  // bytes of a query; zero means 1 MiB
	Log     log.Interface        // takes faults; nil for none

	mu        sync.Mutex
	addr      string
	listening chan struct{}
}

// Run serves callers until ctx ends. Then it accepts nothing more, lets the
// requests in flight finish, and returns nil. Any other error says why it
// could not serve.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.handler()
	if err != nil {
		return magnoliashore.Step(err, "build router", "")
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return magnoliashore.Step(err, "listen", s.Address)
	}
	s.announce(listener.Addr().String())
	return s.serve(ctx, newHTTPServer(handler), listener)
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

func (s *Server) serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return magnoliashore.Step(err, "serve", s.Addr())
	case <-ctx.Done():
	}
	return shutdown(server, s.Addr())
}

// shutdown waits for the requests in flight, whose own deadlines bound them.
func shutdown(server *http.Server, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return magnoliashore.Step(errors.Join(err, server.Close()), "shut down", addr)
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          quietLog(),
	}
}
