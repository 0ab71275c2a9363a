package client

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// sendResult is the result of one attempt.
type sendResult struct {
	answer    magnoliashore.Answer
	maybeSent bool // a connection was established, so bytes may have been sent
	leaving   bool // the reply has the header Leaving
	err       error
}

// send sends a query once to one address. It gives up if no connection is
// established within connectTimeout.
func (c *Client) send(ctx context.Context, address string, body []byte, connectTimeout time.Duration) sendResult {
	var connected atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelUnlessConnected(ctx, cancel, connectTimeout, &connected)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, address, body)
	if err != nil {
		return sendResult{err: magnoliashore.Step(err, "make request", address)}
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return sendResult{maybeSent: connected.Load(), err: magnoliashore.Step(err, "send query", address)}
	}
	data, err := readReply(reply)
	if err != nil {
		return sendResult{maybeSent: true, err: magnoliashore.Step(err, "read answer", address)}
	}
	answer, err := decodeAnswer(reply, data)
	return sendResult{
		answer:    answer,
		maybeSent: true,
		leaving:   reply.Header.Get(wire.HeaderLeaving) != "",
		err:       magnoliashore.Step(err, "decode answer", address),
	}
}

// cancelUnlessConnected cancels an attempt that has no connection after timeout.
func (c *Client) cancelUnlessConnected(ctx context.Context, cancel func(), timeout time.Duration, connected *atomic.Bool) {
	timer := c.timers.After(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		if !connected.Load() {
			cancel()
		}
	}
}

func newRequest(ctx context.Context, address string, body []byte) (*http.Request, error) {
	endpoint := url.URL{Scheme: "http", Host: address, Path: wire.PathQuery}
	reader := plainReader{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint.String(), reader)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", wire.CBOR.ContentType())
	request.Header.Set("Accept", wire.CBOR.ContentType())
	return request, nil
}

func decodeAnswer(reply *http.Response, data []byte) (magnoliashore.Answer, error) {
	format, ok := wire.ParseContentType(reply.Header.Get("Content-Type"))
	if !ok {
		return magnoliashore.Answer{}, errors.Newf("HTTP status %d with unsupported content type %q",
			reply.StatusCode, reply.Header.Get("Content-Type"))
	}
	return wire.DecodeAnswer(format, data)
}
