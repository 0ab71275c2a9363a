package proof

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// rawClient sends requests to entry hosts over HTTP without the client library.
type rawClient struct{ http *http.Client }

func newRawClient(t *testing.T) *rawClient {
	t.Helper()
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 64,
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &rawClient{http: &http.Client{Transport: transport}}
}

// post sends a query once, to one address, and returns the answer.
func (r *rawClient) post(address string, spec magnoliashore.QuerySpec, wait time.Duration) (magnoliashore.Answer, error) {
	now := time.Now()
	if spec.Deadline.IsZero() {
		spec.Deadline = now.Add(wait)
	}
	body, err := wire.EncodeQuery(wire.JSON, magnoliashore.NewQuery(spec), now)
	if err != nil {
		return magnoliashore.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(context.Background(), spec.Deadline.Add(time.Second))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathQuery, bytes.NewReader(body))
	if err != nil {
		return magnoliashore.Answer{}, err
	}
	request.GetBody = nil // keeps net/http from resending the request
	request.Header.Set("Content-Type", wire.JSON.ContentType())
	data, err := r.do(request)
	if err != nil {
		return magnoliashore.Answer{}, err
	}
	return wire.DecodeAnswer(wire.JSON, data)
}

// entry returns a host's entry for itself, which holds the values that its tickets
// must name.
func (r *rawClient) entry(s *seat) (magnoliashore.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.callerAddr+wire.PathEntries, nil)
	if err != nil {
		return magnoliashore.Entry{}, err
	}
	data, err := r.do(request)
	if err != nil {
		return magnoliashore.Entry{}, err
	}
	entries, err := wire.DecodeEntries(wire.JSON, data)
	if err != nil {
		return magnoliashore.Entry{}, err
	}
	for _, e := range entries.List() {
		if e.Host() == s.host {
			return e, nil
		}
	}
	return magnoliashore.Entry{}, errors.Newf("host %s does not list itself among the entries", s.host)
}

func (r *rawClient) do(request *http.Request) ([]byte, error) {
	reply, err := r.http.Do(request)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(reply.Body)
	return data, errors.Join(err, reply.Body.Close())
}
