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

// Limits for fetching a page from one host.
const (
	fetchTimeout = 5 * time.Second
	maxPageBytes = 64 << 20
)

// FetchEvents fetches the events kept by the entry host with the given admin
// address, "ip:port".
func FetchEvents(ctx context.Context, address string) ([]magnoliashore.Event, error) {
	var events []magnoliashore.Event
	err := fetch(ctx, address, PathEvents, func(page io.Reader) (err error) {
		events, err = DecodeEvents(page)
		return err
	})
	return events, magnoliashore.Step(err, "fetch events", address)
}

// FetchStatus fetches the state of the entry host with the given admin address,
// "ip:port".
func FetchStatus(ctx context.Context, address string) (Status, error) {
	var status Status
	err := fetch(ctx, address, PathStatus, func(page io.Reader) (err error) {
		status, err = DecodeStatus(page)
		return err
	})
	return status, magnoliashore.Step(err, "fetch status", address)
}

// fetch requests one page and passes its body to decode.
func fetch(ctx context.Context, address, path string, decode func(page io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	page := url.URL{Scheme: "http", Host: address, Path: path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, page.String(), nil)
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	reply, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return errors.Newf("HTTP status %d; needed is 200", reply.StatusCode)
	}
	return decode(io.LimitReader(reply.Body, maxPageBytes))
}
