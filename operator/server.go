package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/httpd"
)

// Limits for a connection from an operator.
const (
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	drainTimeout   = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// Server serves the admin pages of an entry host. Set the fields before Run; the
// functions must be safe for concurrent use.
type Server struct {
	Address string                       // "ip:port" to listen on
	Clock   magnoliashore.Clock          // source of the time in the status
	Events  func() []magnoliashore.Event // returns the kept events, oldest first
	Ready   func() bool                  // reports whether the host can answer queries
	Leaving func() bool                  // reports whether the host is shutting down
	View    func() magnoliashore.View    // returns the configuration in force
	Status  func() Status                // returns the state of the host

	server httpd.Server
}

// Run serves the pages until ctx ends, then waits for requests in flight to
// finish and returns nil. An error means that it could not serve.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:        s.pages(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	return s.server.Run(ctx, s.Address, server, drainTimeout)
}

// Addr returns the listen address. Call it only after Listening is closed.
func (s *Server) Addr() string { return s.server.Addr() }

// Listening returns a channel that is closed when the server accepts
// connections.
func (s *Server) Listening() <-chan struct{} { return s.server.Listening() }
