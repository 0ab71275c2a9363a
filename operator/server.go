package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/httpd"
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

	server httpd.Server
}

// Run serves the pages until ctx ends, then lets the requests in flight finish
// and returns nil. Any other error says why it could not serve.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:        s.pages(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	return s.server.Run(ctx, s.Address, server, drainTimeout)
}

// Addr returns the address listened on, after Listening is closed.
func (s *Server) Addr() string { return s.server.Addr() }

// Listening returns a channel that is closed when the server accepts
// connections.
func (s *Server) Listening() <-chan struct{} { return s.server.Listening() }
