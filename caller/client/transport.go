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
	keepAlive      = 5 * time.Second
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
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
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
