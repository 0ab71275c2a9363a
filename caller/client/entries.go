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

// freshness says whether held addresses may be used.
type freshness int

const (
	expired freshness = iota
	ageing            // may be used, but it is time to ask again
	fresh
)

// Entries returns the addresses that may be used now: the last answer while
// it may be kept, else a new one. Calls at the same time share one ask, and an
// answer that will soon expire is renewed without a wait.
func (c *Client) Entries(ctx context.Context) (magnoliashore.Entries, error) {
	c.once.Do(c.prepare)
	held, state := c.held()
	switch state {
	case fresh:
		return held, nil
	case ageing:
		c.renew(ctx)
		return held, nil
	}
	select {
	case c.asking <- struct{}{}:
	case <-ctx.Done():
		return magnoliashore.Entries{}, magnoliashore.Step(ctx.Err(), "ask for addresses", "")
	}
	defer func() { <-c.asking }()
	if held, state := c.held(); state != expired {
		return held, nil
	}
	return c.askAny(ctx)
}

// renew asks for addresses in the background, unless somebody does already.
func (c *Client) renew(ctx context.Context) {
	select {
	case c.asking <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.asking }()
		// A failure leaves the held answer, which the next calls renew.
		_, _ = c.askAny(context.WithoutCancel(ctx))
	}()
}

// askAny asks one host after the other until one answers.
func (c *Client) askAny(ctx context.Context) (magnoliashore.Entries, error) {
	held, _ := c.held()
	var faults []error
	for _, address := range c.sources(held) {
		entries, err := c.ask(ctx, address)
		if err == nil {
			return entries, nil
		}
		faults = append(faults, err)
	}
	if len(faults) == 0 {
		return magnoliashore.Entries{}, errors.New("ask for addresses: the client has no seeds")
	}
	return magnoliashore.Entries{}, errors.Join(faults...)
}

// held returns the last answer and whether it may still be used.
func (c *Client) held() (magnoliashore.Entries, freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	switch {
	case !now.Before(c.until):
		return c.entries, expired
	case !now.Before(c.refresh):
		return c.entries, ageing
	default:
		return c.entries, fresh
	}
}

// forget makes the next query ask for addresses again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = c.clock.Now()
}

// sources returns whom to ask for addresses: the last known hosts, then the
// seeds, both in random order.
func (c *Client) sources(held magnoliashore.Entries) []string {
	known := make([]string, 0, len(held.List()))
	for _, e := range held.List() {
		known = append(known, e.Address())
	}
	seeds := slices.Clone(c.Seeds)
	shuffle(known)
	shuffle(seeds)
	var all []string
	for _, address := range append(known, seeds...) {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// ask gets the addresses from one host. They are kept from before the ask.
func (c *Client) ask(ctx context.Context, address string) (magnoliashore.Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	asked := c.clock.Now()
	entries, err := c.fetch(ctx, address)
	if err != nil {
		return entries, magnoliashore.Step(err, "ask for addresses", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = entries
	c.until = asked.Add(entries.Keep())
	c.refresh = c.until.Add(-entries.Keep() / refreshShare)
	return entries, nil
}

func (c *Client) fetch(ctx context.Context, address string) (magnoliashore.Entries, error) {
	target := url.URL{Scheme: "http", Host: address, Path: wire.PathEntries}
	if c.Zone != "" {
		target.RawQuery = url.Values{wire.ParamZone: {string(c.Zone)}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
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
		return magnoliashore.Entries{}, errors.Newf("HTTP status %d; needed is 200", reply.StatusCode)
	}
	format, ok := wire.ParseContentType(reply.Header.Get("Content-Type"))
	if !ok {
		return magnoliashore.Entries{}, errors.Newf("unknown content type %q", reply.Header.Get("Content-Type"))
	}
	entries, err := wire.DecodeEntries(format, data)
	if err == nil && len(entries.List()) == 0 {
		return entries, errors.New("the answer names no address")
	}
	return entries, err
}

// spread returns the entries in the order to try: those of the caller's
// availability zone first, equals at random.
func spread(list []magnoliashore.Entry, zone magnoliashore.ZoneName) []magnoliashore.Entry {
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
