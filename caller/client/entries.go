package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// freshness is the state of the cached addresses.
type freshness int

const (
	expired    freshness = iota
	refreshDue           // usable, but due for a refresh
	fresh
)

// Entries returns the addresses of entry hosts to use now, from the cache until
// it expires. Concurrent calls share one fetch, and addresses that expire soon are
// refreshed in the background.
func (c *Client) Entries(ctx context.Context) (magnoliashore.Entries, error) {
	c.prepareOnce.Do(c.prepare)
	cached, state := c.cachedEntries()
	switch state {
	case fresh:
		return cached, nil
	case refreshDue:
		c.refreshInBackground(ctx)
		return cached, nil
	}
	select {
	case c.fetching <- struct{}{}:
	case <-ctx.Done():
		return magnoliashore.Entries{}, magnoliashore.Step(ctx.Err(), "fetch addresses", "")
	}
	defer func() { <-c.fetching }()
	if cached, state := c.cachedEntries(); state != expired {
		return cached, nil
	}
	return c.fetchFromAny(ctx)
}

// refreshInBackground fetches the addresses in the background unless a fetch is
// in progress.
func (c *Client) refreshInBackground(ctx context.Context) {
	select {
	case c.fetching <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.fetching }()
		// On a failure the cached addresses stay, and the next call tries again.
		_, _ = c.fetchFromAny(context.WithoutCancel(ctx))
	}()
}

// fetchFromAny asks one host after another for the addresses until one answers.
func (c *Client) fetchFromAny(ctx context.Context) (magnoliashore.Entries, error) {
	cached, _ := c.cachedEntries()
	var errs []error
	for _, address := range c.fetchOrder(cached) {
		entries, err := c.fetchAndCache(ctx, address)
		if err == nil {
			return entries, nil
		}
		errs = append(errs, err)
	}
	if len(errs) == 0 {
		return magnoliashore.Entries{}, errors.New("fetch addresses: the client has no seeds")
	}
	return magnoliashore.Entries{}, errors.Join(errs...)
}

// cachedEntries returns the cached addresses and whether they may still be used.
func (c *Client) cachedEntries() (magnoliashore.Entries, freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	switch {
	case !now.Before(c.expiresAt):
		return c.entries, expired
	case !now.Before(c.refreshAt):
		return c.entries, refreshDue
	default:
		return c.entries, fresh
	}
}

// expireEntries makes the next query fetch the addresses again.
func (c *Client) expireEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiresAt = c.clock.Now()
}

// fetchOrder returns the hosts to fetch addresses from: the cached hosts, then
// the seeds, each group in random order.
func (c *Client) fetchOrder(cached magnoliashore.Entries) []string {
	hosts := make([]string, 0, len(cached.List()))
	for _, e := range cached.List() {
		hosts = append(hosts, e.Address())
	}
	seeds := slices.Clone(c.Seeds)
	shuffle(hosts)
	shuffle(seeds)
	var addresses []string
	for _, address := range append(hosts, seeds...) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// fetchAndCache fetches the addresses from one host. Their lifetime counts from
// before the request.
func (c *Client) fetchAndCache(ctx context.Context, address string) (magnoliashore.Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	start := c.clock.Now()
	entries, err := c.fetch(ctx, address)
	if err != nil {
		return entries, magnoliashore.Step(err, "fetch addresses", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = entries
	c.expiresAt = start.Add(entries.Keep())
	c.refreshAt = c.expiresAt.Add(-entries.Keep() / refreshDivisor)
	return entries, nil
}

func (c *Client) fetch(ctx context.Context, address string) (magnoliashore.Entries, error) {
	endpoint := url.URL{Scheme: "http", Host: address, Path: wire.PathEntries}
	if c.Zone != "" {
		endpoint.RawQuery = url.Values{wire.ParamZone: {string(c.Zone)}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.String(), nil)
	if err != nil {
		return magnoliashore.Entries{}, err
	}
	request.Header.Set("Accept", wire.CBOR.ContentType())
	reply, err := c.http.Do(request)
	if err != nil {
		return magnoliashore.Entries{}, err
	}
	data, err := readReply(reply)
	if err != nil {
		return magnoliashore.Entries{}, err
	}
	return decodeEntries(reply, data)
}

func decodeEntries(reply *http.Response, data []byte) (magnoliashore.Entries, error) {
	if reply.StatusCode != http.StatusOK {
		return magnoliashore.Entries{}, errors.Newf("HTTP status %d; want 200", reply.StatusCode)
	}
	format, ok := wire.ParseContentType(reply.Header.Get("Content-Type"))
	if !ok {
		return magnoliashore.Entries{}, errors.Newf("unsupported content type %q", reply.Header.Get("Content-Type"))
	}
	entries, err := wire.DecodeEntries(format, data)
	if err == nil && len(entries.List()) == 0 {
		return entries, errors.New("the reply contains no addresses")
	}
	return entries, err
}

// orderByZone returns the entries in the order to try: those of the caller's
// availability zone first, in random order within each group.
func orderByZone(list []magnoliashore.Entry, zone magnoliashore.ZoneName) []magnoliashore.Entry {
	near := make([]magnoliashore.Entry, 0, len(list))
	var far []magnoliashore.Entry
	for _, e := range list {
		if e.Zone() == zone {
			near = append(near, e)
			continue
		}
		far = append(far, e)
	}
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

func shuffle[T any](list []T) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
