// Package caller provides the HTTP API that an entry host serves to callers.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/httpd"
)

// Timeouts and limits of a connection from a caller.
const (
	headerTimeout       = 5 * time.Second  // time to read a request header
	readTimeout         = 2 * time.Minute  // time to read a whole request; exceeds the longest deadline
	writeTimeout        = 2 * time.Minute  // time to handle a request and write the reply
	idleTimeout         = 2 * time.Minute  // time to wait for the next request
	drainTimeout        = 65 * time.Second // time to finish requests in flight on shutdown; exceeds the longest deadline
	maxHeaderBytes      = 16 << 10         // 16 KiB
	defaultMaxBodyBytes = 1 << 20          // 1 MiB
)

// Server serves the caller API. Set the fields before Run.
type Server struct {
	Address      string               // "ip:port" to listen on
	Engine       magnoliashore.Engine // answers the queries
	Clock        magnoliashore.Clock  // time base of query deadlines
	MaxBodyBytes int                  // largest request body; zero means 1 MiB
	Log          log.Interface        // receives internal errors; nil disables logging

	server httpd.Server
}

// Run serves callers until ctx ends. It then stops accepting connections, waits
// for the requests in flight, and returns nil. Any other return value says why
// it could not serve.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.newHandler()
	if err != nil {
		return magnoliashore.Step(err, "build router", "")
	}
	return s.server.Run(ctx, s.Address, newHTTPServer(handler), drainTimeout)
}

// Addr returns the address that the server listens on. It is valid once the
// channel of Listening is closed.
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
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newDiscardLogger(),
	}
}
