package configservice

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	defaultPollWait = 10 * time.Second // duration of a long poll if Client.Wait is zero
	requestTimeout  = 5 * time.Second  // timeout of a request, in addition to the wait of a long poll

	maxIdleConns = 4                // idle connections kept per address
	idleTimeout  = 90 * time.Second // how long an idle connection is kept

	headerVersion = "Version"

	stepRead  = "read value"
	stepWatch = "watch value"
	stepHosts = "read hosts"
)

// Client reads the platform over HTTP. It implements magnoliashore.Platform
// and is safe for concurrent use.
type Client struct {
	// Address is the "ip:port" address of the platform.
	Address string
	// HTTP sends the requests. Nil means a client that is shared by all Clients
	// and uses no proxy.
	HTTP *http.Client
	// Wait is how long the platform may hold one long poll; zero means 10
	// seconds.
	Wait time.Duration

	timer timer.Service
}

// sharedClient is the HTTP client of every Client without one of its own.
var sharedClient = &http.Client{Transport: &http.Transport{
	DialContext:         tcp.Dialer(requestTimeout, 0).DialContext,
	MaxIdleConnsPerHost: maxIdleConns,
	IdleConnTimeout:     idleTimeout,
}}

var _ magnoliashore.Platform = Client{}

// Read returns the newest value of key. The error is ErrNotFound if the key was
// never published.
func (c Client) Read(ctx context.Context, key string) (magnoliashore.Value, error) {
	value, ok, err := c.fetchValue(ctx, key, nil, requestTimeout)
	if err == nil && !ok {
		err = errors.Newf("key %q: status is 204, want 200", key)
	}
	return value, magnoliashore.Step(err, stepRead, c.Address)
}

// Watch waits for a value of key with a version above after. It repeats a long
// poll until the platform returns one, at most once per Wait, and returns an
// error when ctx ends or a request fails.
func (c Client) Watch(
	ctx context.Context, key string, after magnoliashore.Version,
) (magnoliashore.Value, error) {
	for {
		nextPoll := c.timer.Now().Add(c.pollWait())
		value, ok, err := c.poll(ctx, key, after)
		if err != nil {
			return magnoliashore.Value{}, magnoliashore.Step(err, stepWatch, c.Address)
		}
		if ok {
			return value, nil
		}
		if err := c.pause(ctx, nextPoll); err != nil {
			return magnoliashore.Value{}, magnoliashore.Step(err, stepWatch, c.Address)
		}
	}
}

// Hosts returns the list of live and leaving hosts.
func (c Client) Hosts(ctx context.Context) (magnoliashore.HostList, error) {
	reply, err := c.get(ctx, url.URL{Path: "/hosts"}, requestTimeout)
	if err != nil {
		return magnoliashore.HostList{}, magnoliashore.Step(err, stepHosts, c.Address)
	}
	hosts, err := decodeHosts(reply.body)
	if err != nil {
		return magnoliashore.HostList{}, magnoliashore.Step(err, stepHosts, c.Address)
	}
	return hosts, nil
}

// poll makes one long poll. It returns false if the platform has no version above
// after yet.
func (c Client) poll(
	ctx context.Context, key string, after magnoliashore.Version,
) (magnoliashore.Value, bool, error) {
	query := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {strconv.FormatInt(c.pollWait().Milliseconds(), 10)},
	}
	value, ok, err := c.fetchValue(ctx, key, query, c.pollWait()+requestTimeout)
	if err != nil || !ok {
		return magnoliashore.Value{}, false, err
	}
	return value, value.Version() > after, nil
}

// pause waits until the given time, so that a platform that answers long polls
// at once is not polled in a busy loop.
func (c Client) pause(ctx context.Context, until time.Time) error {
	wake := c.timer.At(until)
	defer wake.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wake.C:
		return nil
	}
}

// fetchValue requests the value of key. It returns false if the status is 204.
func (c Client) fetchValue(
	ctx context.Context, key string, query url.Values, timeout time.Duration,
) (magnoliashore.Value, bool, error) {
	requestURL := url.URL{Path: "/values/" + key, RawQuery: query.Encode()}
	reply, err := c.get(ctx, requestURL, timeout)
	if err != nil {
		return magnoliashore.Value{}, false, errors.Wrapf(err, "key %q", key)
	}
	if reply.status == http.StatusNoContent {
		return magnoliashore.Value{}, false, nil
	}
	version, err := strconv.ParseUint(reply.version, 10, 64)
	if err != nil || version == 0 {
		return magnoliashore.Value{}, false, errors.Newf(
			"key %q: header %s has %q, want a number above 0", key, headerVersion, reply.version)
	}
	return magnoliashore.NewValue(key, magnoliashore.Version(version), reply.body), true, nil
}

// response is the platform's response to one request.
type response struct {
	status  int
	version string // header Version
	body    []byte
}

// get sends one request and reads the whole response.
func (c Client) get(ctx context.Context, requestURL url.URL, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL.Scheme = "http"
	requestURL.Host = c.Address
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL.String(), nil)
	if err != nil {
		return response{}, err
	}
	reply, err := c.httpClient().Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = reply.Body.Close() }()
	if err := checkStatus(reply.StatusCode); err != nil {
		return response{}, err
	}
	body, err := readBody(reply.Body)
	if err != nil {
		return response{}, err
	}
	return response{status: reply.StatusCode, version: reply.Header.Get(headerVersion), body: body}, nil
}

func checkStatus(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Newf("status is %d, want 200", status)
	}
}

func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, MaxValue+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxValue {
		return nil, errors.Newf("the response has more than %d bytes", MaxValue)
	}
	return data, nil
}

func (c Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return sharedClient
	}
	return c.HTTP
}

func (c Client) pollWait() time.Duration {
	if c.Wait <= 0 {
		return defaultPollWait
	}
	return c.Wait
}
