package operator

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// Bounds of reading the events of one host.
const (
	fetchTimeout = 5 * time.Second
	maxEvents    = 64 << 20 // bytes
)

// FetchEvents reads the events that the entry host with the given admin
// address, "ip:port", keeps.
func FetchEvents(ctx context.Context, address string) ([]magnoliashore.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	events, err := fetchEvents(ctx, address)
	return events, magnoliashore.Step(err, "fetch events", address)
}

func fetchEvents(ctx context.Context, address string) ([]magnoliashore.Event, error) {
	page := url.URL{Scheme: "http", Host: address, Path: PathEvents}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, page.String(), nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	reply, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	events, err := readEvents(reply)
	return events, errors.Join(err, reply.Body.Close())
}

func readEvents(reply *http.Response) ([]magnoliashore.Event, error) {
	if reply.StatusCode != http.StatusOK {
		return nil, errors.Newf("HTTP status %d; needed is 200", reply.StatusCode)
	}
	return DecodeEvents(io.LimitReader(reply.Body, maxEvents))
}
