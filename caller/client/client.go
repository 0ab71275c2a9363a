// Package client provides the library with which callers ask a query of the
// entry hosts.
package client

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Bounds of the client.
const (
	longest        = time.Minute          // of a query without a deadline
	entriesTimeout = time.Second          // for one host to say which addresses to use
	defaultMargin  = time.Millisecond     // for the way back
	refreshShare   = 3                    // addresses are asked for again in the last part in this of their time
	connectShare   = 3                    // a connection may take one part in this of the time left
	firstPause     = 2 * time.Millisecond // before a ticket is sent again
	longestPause   = time.Second          // between two sends of a ticket
	maxAnswer      = 64 << 20             // bytes
)

// Client asks queries of the entry hosts. Set the fields before the first
// call; a Client may be used by many goroutines.
type Client struct {
	Seeds      []string               // "ip:port" addresses that are asked first
	Zone       magnoliashore.ZoneName // availability zone of the caller; may be empty
	HTTP       *http.Client           // nil means one with a pool of its own
	Clock      magnoliashore.Clock    // nil means the clock of the process
	MaxRetries int                    // retries of an idempotent query; zero means one, negative means none

	// Margin is taken off the deadline that the entry host is told, for the
	// way back of the answer; zero means 1 ms.
	Margin time.Duration

	once   sync.Once
	http   *http.Client
	clock  magnoliashore.Clock
	margin time.Duration
	timers timer.Service
	asking chan struct{} // holds one element while addresses are asked for

	mu       sync.Mutex
	entries  magnoliashore.Entries
	suspects map[string]time.Time // addresses that did not answer, until when they come last
	refresh  time.Time            // when to ask again, while the answer may still be used
	until    time.Time
}

// Request is one query of a caller.
type Request struct {
	ID         magnoliashore.QueryID // empty means a random one
	Group      magnoliashore.GroupName
	Services   []magnoliashore.ServiceName // empty means all of the group
	Body       []byte                      // what each target gets
	Deadline   time.Duration               // time for the answer, at most a minute; zero means the service's
	AtMostOnce bool                        // run the query at most once, under a ticket that the client creates
	Merge      magnoliashore.Merge
}

// Query asks a query and returns its answer. The outcome of the answer holds
// with an error too: an error says that no entry host gave a final answer,
// and the outcome what is known then. When ctx ends, the query is cancelled.
func (c *Client) Query(ctx context.Context, request Request) (magnoliashore.Answer, error) {
	c.once.Do(c.prepare)
	if request.ID == "" {
		request.ID = magnoliashore.QueryID(randomID())
	}
	deadline, stated := c.deadline(ctx, request)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	entries, err := c.Entries(ctx)
	if err != nil {
		return unsent(request), err
	}
	run := &attempts{
		client:   c,
		request:  request,
		deadline: deadline,
		stated:   stated,
		order:    c.trustedFirst(spread(entries.List(), c.Zone)),
	}
	return run.run(ctx)
}

func (c *Client) prepare() {
	c.clock = c.Clock
	if c.clock == nil {
		c.clock = &c.timers
	}
	c.margin = c.Margin
	if c.margin == 0 {
		c.margin = defaultMargin
	}
	c.asking = make(chan struct{}, 1)
	c.http = newHTTPClient(c.HTTP)
}

// deadline returns when the client stops to wait, and whether the caller
// stated it.
func (c *Client) deadline(ctx context.Context, request Request) (time.Time, bool) {
	stated := request.Deadline > 0
	wait := longest
	if stated {
		wait = min(request.Deadline, longest)
	}
	deadline := c.clock.Now().Add(wait)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit, true
	}
	return deadline, stated
}

// unsent is the answer to a query of which nothing was sent.
func unsent(request Request) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:   request.ID,
		Outcome: magnoliashore.OutcomeNotRun,
		Reason:  magnoliashore.ReasonUnreachable,
		Detail:  "no entry host was sent the query",
	})
}

// lost is the answer to a query that may have run.
func lost(request Request) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:   request.ID,
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  magnoliashore.ReasonLost,
		Detail:  "no final answer came in time",
	})
}
