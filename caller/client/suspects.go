package client

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// suspectTime is how long an entry that left a query without an answer is
// asked after the others. A live entry host answers before the deadline, if
// only to refuse, so silence means that it is frozen or cut off.
const suspectTime = 2 * time.Second

// suspect remembers an entry that did not answer. A query that the caller gave
// up says nothing.
func (c *Client) suspect(ctx context.Context, address string) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects == nil {
		c.suspects = make(map[string]time.Time)
	}
	c.suspects[address] = c.clock.Now().Add(suspectTime)
}

// trustedFirst moves the entries that recently did not answer behind the
// others.
func (c *Client) trustedFirst(order []magnoliashore.Entry) []magnoliashore.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	silent := func(e magnoliashore.Entry) int {
		if now.Before(c.suspects[e.Address()]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b magnoliashore.Entry) int { return silent(a) - silent(b) })
	return order
}
