// Package caller provides the HTTP API of an entry host towards callers.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/httpd"
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
	Address      string               // "ip:port" to listen on
	Engine       magnoliashore.Engine // answers the queries
	Clock        magnoliashore.Clock  // sets the deadlines
	MaxBodyBytes int                  // largest request body; zero means 1 MiB
	Log          log.Interface        // takes faults; nil for none

	server httpd.Server
}

// Run serves callers until ctx ends. Then it accepts nothing more, lets the
// requests in flight finish, and returns nil. Any other error says why it
// could not serve.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.handler()
	if err != nil {
		return magnoliashore.Step(err, "build router", "")
	}
	return s.server.Run(ctx, s.Address, newHTTPServer(handler), drainTimeout)
}

// Addr returns the address listened on, after Listening is closed.
func (s *Server) Addr() string { return s.server.Addr() }

// Listening returns a channel that is closed when the server accepts
// connections.
func (s *Server) Listening() <-chan struct{} { return s.server.Listening() }

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
