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

// Entries returns the addresses that may be used now: the last answer while
// it may be kept, else a new one.
func (c *Client) Entries(ctx context.Context) (magnoliashore.Entries, error) {
	c.once.Do(c.prepare)
	held, fresh := c.held()
	if fresh {
		return held, nil
	}
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
func (c *Client) held() (magnoliashore.Entries, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries, c.clock.Now().Before(c.until)
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

// spread returns the entries in the order to try: those of the nearest
// availability zone first, equals at random. The nearest zone is the caller's
// own if it has entries, else the one that the answer names first.
func spread(list []magnoliashore.Entry, zone magnoliashore.ZoneName) []magnoliashore.Entry {
	if len(list) == 0 {
		return nil
	}
	inZone := func(e magnoliashore.Entry) bool { return e.Zone() == zone }
	if !slices.ContainsFunc(list, inZone) {
		zone = list[0].Zone()
	}
	var near, far []magnoliashore.Entry
	for _, e := range list {
		if inZone(e) {
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
