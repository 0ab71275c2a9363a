package configservice

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	defaultWait = 10 * time.Second // length of a long poll where Client.Wait is zero
	callTimeout = 5 * time.Second  // longest time of a call beyond its wait

	idleConns   = 4                // idle connections that are kept to one address
	idleTimeout = 90 * time.Second // how long they are kept

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
	// HTTP sends the calls; nil means a client that is shared by all Clients
	// and uses no proxy.
	HTTP *http.Client
	// Wait is how long the platform may hold one call of a watch; zero means
	// 10 seconds.
	Wait time.Duration

	timer timer.Service
}

// sharedClient serves every Client without an HTTP field.
var sharedClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
	MaxIdleConnsPerHost: idleConns,
	IdleConnTimeout:     idleTimeout,
}}

var _ magnoliashore.Platform = Client{}

// Read returns the newest value of key. The error is ErrAbsent if the key was
// never published.
func (c Client) Read(ctx context.Context, key string) (magnoliashore.Value, error) {
	value, ok, err := c.value(ctx, key, nil, callTimeout)
	if err == nil && !ok {
		err = errors.Newf("key %q: status is 204, want 200", key)
	}
	return value, magnoliashore.Step(err, stepRead, c.Address)
}

// Watch returns the first value of key with a version above after. It repeats
// its call for as long as the platform has none, at most once per Wait, and
// returns an error when ctx ends or a call fails.
func (c Client) Watch(
	ctx context.Context, key string, after magnoliashore.Version,
) (magnoliashore.Value, error) {
	for {
		next := c.timer.Now().Add(c.wait())
		value, ok, err := c.poll(ctx, key, after)
		if err != nil {
			return magnoliashore.Value{}, magnoliashore.Step(err, stepWatch, c.Address)
		}
		if ok {
			return value, nil
		}
		if err := c.pause(ctx, next); err != nil {
			return magnoliashore.Value{}, magnoliashore.Step(err, stepWatch, c.Address)
		}
	}
}

// Hosts returns the list of live and leaving hosts.
func (c Client) Hosts(ctx context.Context) (magnoliashore.HostList, error) {
	got, err := c.get(ctx, url.URL{Path: "/hosts"}, callTimeout)
	if err != nil {
		return magnoliashore.HostList{}, magnoliashore.Step(err, stepHosts, c.Address)
	}
	hosts, err := decodeHosts(got.body)
	if err != nil {
		return magnoliashore.HostList{}, magnoliashore.Step(err, stepHosts, c.Address)
	}
	return hosts, nil
}

// poll makes one held call. It returns false if the platform has no version
// above after yet.
func (c Client) poll(
	ctx context.Context, key string, after magnoliashore.Version,
) (magnoliashore.Value, bool, error) {
	query := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {strconv.FormatInt(c.wait().Milliseconds(), 10)},
	}
	value, ok, err := c.value(ctx, key, query, c.wait()+callTimeout)
	if err != nil || !ok {
		return magnoliashore.Value{}, false, err
	}
	return value, value.Version() > after, nil
}

// pause waits until the given time, so that a platform that does not hold
// calls isn't called in a busy loop.
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

// value makes one call for a value; it returns false after a 204.
func (c Client) value(
	ctx context.Context, key string, query url.Values, timeout time.Duration,
) (magnoliashore.Value, bool, error) {
	call := url.URL{Path: "/values/" + key, RawQuery: query.Encode()}
	got, err := c.get(ctx, call, timeout)
	if err != nil {
		return magnoliashore.Value{}, false, errors.Wrapf(err, "key %q", key)
	}
	if got.status == http.StatusNoContent {
		return magnoliashore.Value{}, false, nil
	}
	version, err := strconv.ParseUint(got.version, 10, 64)
	if err != nil || version == 0 {
		return magnoliashore.Value{}, false, errors.Newf(
			"key %q: header %s has %q, want a number above 0", key, headerVersion, got.version)
	}
	return magnoliashore.NewValue(key, magnoliashore.Version(version), got.body), true, nil
}

// reply is what the platform answered to one call.
type reply struct {
	status  int
	version string // header Version
	body    []byte
}

// get makes one call and reads the whole reply.
func (c Client) get(ctx context.Context, call url.URL, timeout time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.Scheme = "http"
	call.Host = c.Address
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, call.String(), nil)
	if err != nil {
		return reply{}, err
	}
	got, err := c.client().Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = got.Body.Close() }()
	if err := checkStatus(got.StatusCode); err != nil {
		return reply{}, err
	}
	body, err := readBody(got.Body)
	if err != nil {
		return reply{}, err
	}
	return reply{status: got.StatusCode, version: got.Header.Get(headerVersion), body: body}, nil
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
		return nil, errors.Newf("the reply has more than %d bytes", MaxValue)
	}
	return data, nil
}

func (c Client) client() *http.Client {
	if c.HTTP == nil {
		return sharedClient
	}
	return c.HTTP
}

func (c Client) wait() time.Duration {
	if c.Wait <= 0 {
		return defaultWait
	}
	return c.Wait
}
