package client

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts and limits of the connection pool.
const (
	dialTimeout    = 500 * time.Millisecond
	probeIdle      = 5 * time.Second // idle time after which keep-alive probes begin
	probeInterval  = time.Second
	probeCount     = 3 // unanswered probes after which a connection is closed
	maxIdlePerHost = 256
	idleTimeout    = time.Minute // below the idle timeout of the entry host
)

// newHTTPClient returns a copy of base, or a client with its own connection pool.
// It does not follow redirects, which would send a query twice.
func newHTTPClient(base *http.Client) *http.Client {
	var client http.Client
	if base != nil {
		client = *base
	}
	if client.Transport == nil {
		client.Transport = newTransport()
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client
}

func newTransport() *http.Transport {
	// Package tcp is for Linux only, and this one is embedded elsewhere.
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// plainReader hides the type of a body from net/http, which would otherwise keep a
// copy and could resend the request on its own.
type plainReader struct{ io.Reader }

// readReply reads the whole body and closes it.
func readReply(reply *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes+1))
	if err := errors.Join(err, reply.Body.Close()); err != nil {
		return nil, err
	}
	if len(data) > maxReplyBytes {
		return nil, errors.Newf("the reply exceeds %d bytes", maxReplyBytes)
	}
	return data, nil
}
