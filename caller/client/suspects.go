package client

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// suspectDuration is how long an entry host that did not answer a query is tried
// last. A live entry host answers before the deadline, if only to refuse the query,
// so a missing answer means that it hangs or is unreachable.
const suspectDuration = 2 * time.Second

// suspect records an address that did not answer. It ignores a query that the
// caller cancelled, which shows nothing about the host.
func (c *Client) suspect(ctx context.Context, address string) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects == nil {
		c.suspects = make(map[string]time.Time)
	}
	c.suspects[address] = c.clock.Now().Add(suspectDuration)
}

// suspectsLast moves the suspected entries behind the others.
func (c *Client) suspectsLast(entries []magnoliashore.Entry) []magnoliashore.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	suspected := func(e magnoliashore.Entry) int {
		if now.Before(c.suspects[e.Address()]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(entries, func(a, b magnoliashore.Entry) int { return suspected(a) - suspected(b) })
	return entries
}
