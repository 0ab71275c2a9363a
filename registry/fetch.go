package registry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

const (
	maxResponseSize = 16 << 20 // bytes
	// MaxHeadSize bounds the head of an answer of the store or of another host, in
	// bytes.
	MaxHeadSize = 64 << 10
)

// errTooLong means that an answer is longer than a host reads.
var errTooLong = errors.Newf("the answer has more than %d bytes", maxResponseSize)

// IsTooLong reports whether err says that an answer is longer than a host reads.
func IsTooLong(err error) bool { return errors.Is(err, errTooLong) }

// Fetch sends a GET request to a source of entries at an ip:port and returns the
// body and the header of the response. It returns ErrCompacted if the source no
// longer has the requested changes.
func Fetch(
	ctx context.Context, client *http.Client, address, uri string, timeout time.Duration,
) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+uri, nil)
	if err != nil {
		return nil, nil, magnoliashore.Step(err, "build a request for entries", address)
	}
	req.Header["User-Agent"] = nil // sent with every poll otherwise
	connection := "no connection"
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection = "a new connection"
		if info.Reused {
			connection = "a kept connection"
		}
	}}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, nil, magnoliashore.Step(err, "request entries over "+connection, address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err == nil && len(body) > maxResponseSize {
		err = errTooLong
	}
	if err != nil {
		return nil, nil, magnoliashore.Step(err, "read entries", address)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return body, resp.Header, nil
	case http.StatusGone:
		return nil, nil, ErrCompacted
	default:
		return nil, nil, errors.Newf("%s answered %d to a call for entries", address, resp.StatusCode)
	}
}
