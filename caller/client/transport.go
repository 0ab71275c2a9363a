package client

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the pool of connections.
const (
	dialTimeout = 500 * time.Millisecond
	keepAlive   = 5 * time.Second
	idlePerHost = 256
	idleTimeout = time.Minute // below the entry host's own
)

// newHTTPClient returns base, or a client with a pool of its own, that
// follows no redirect: a followed one would send a query twice.
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
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// plainReader hides the type of a body from net/http, which would otherwise
// keep a copy to send the request again by itself.
type plainReader struct{ io.Reader }

// readReply reads the whole body and closes it.
func readReply(reply *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer+1))
	if err := errors.Join(err, reply.Body.Close()); err != nil {
		return nil, err
	}
	if len(data) > maxAnswer {
		return nil, errors.Newf("the reply has more than %d bytes", maxAnswer)
	}
	return data, nil
}
