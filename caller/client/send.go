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

// result is what came of one send.
type result struct {
	answer  magnoliashore.Answer
	sent    bool // a connection stood, so bytes may have been sent
	leaving bool // the host is leaving
	err     error
}

// send sends a query to one address once. It gives up if no connection stands
// after the time connect.
func (c *Client) send(ctx context.Context, address string, body []byte, connect time.Duration) result {
	var sent atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.limitConnect(ctx, cancel, connect, &sent)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := newRequest(ctx, address, body)
	if err != nil {
		return result{err: magnoliashore.Step(err, "make request", address)}
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return result{sent: sent.Load(), err: magnoliashore.Step(err, "send query", address)}
	}
	data, err := readReply(reply)
	if err != nil {
		return result{sent: true, err: magnoliashore.Step(err, "read answer", address)}
	}
	answer, err := decodeAnswer(reply, data)
	return result{
		answer:  answer,
		sent:    true,
		leaving: reply.Header.Get(wire.HeaderLeaving) != "",
		err:     magnoliashore.Step(err, "decode answer", address),
	}
}

// limitConnect cancels a send without a connection after the time connect.
func (c *Client) limitConnect(ctx context.Context, cancel func(), connect time.Duration, sent *atomic.Bool) {
	wake := c.timers.After(connect)
	defer wake.Stop()
	select {
	case <-ctx.Done():
	case <-wake.C:
		if !sent.Load() {
			cancel()
		}
	}
}

func newRequest(ctx context.Context, address string, body []byte) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, Path: wire.PathQuery}
	reader := plainReader{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), reader)
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
		return magnoliashore.Answer{}, errors.Newf("HTTP status %d with content type %q",
			reply.StatusCode, reply.Header.Get("Content-Type"))
	}
	return wire.DecodeAnswer(format, data)
}
