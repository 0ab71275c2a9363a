// Package client provides the library with which callers send queries to the
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

// Timeouts and limits of the client.
const (
	maxDeadline    = time.Minute          // limit for the deadline of a query, and the default
	entriesTimeout = time.Second          // time for one host to return the addresses
	defaultMargin  = time.Millisecond     // time for the answer to return to the caller
	refreshDivisor = 3                    // addresses are refreshed in the last 1/refreshDivisor of their lifetime
	connectDivisor = 3                    // connecting may take 1/connectDivisor of the time left
	initialBackoff = 2 * time.Millisecond // pause before the first retry of a ticket
	maxBackoff     = time.Second          // longest pause between two retries of a ticket
	maxReplyBytes  = 64 << 20             // 64 MiB
)

// Client sends queries to the entry hosts. Set the fields before the first call.
// A Client is safe for concurrent use.
type Client struct {
	Seeds      []string               // "ip:port" addresses of entry hosts that can return the current addresses
	Zone       magnoliashore.ZoneName // availability zone of the caller; may be empty
	HTTP       *http.Client           // nil means a client with its own connection pool
	Clock      magnoliashore.Clock    // nil means the clock of the process
	MaxRetries int                    // retries of an idempotent query; zero means one, negative means none

	// Margin is subtracted from the deadline that is sent to the entry host, to
	// leave time for the answer to return; zero means 1 ms.
	Margin time.Duration

	prepareOnce sync.Once
	http        *http.Client
	clock       magnoliashore.Clock
	margin      time.Duration
	timers      timer.Service
	fetching    chan struct{} // holds one element while addresses are fetched

	mu        sync.Mutex
	entries   magnoliashore.Entries
	suspects  map[string]time.Time // until when an address that did not answer is tried last
	refreshAt time.Time            // when to fetch the addresses again before they expire
	expiresAt time.Time
}

// Request is one query of a caller.
type Request struct {
	ID         magnoliashore.QueryID // empty means a random one
	Group      magnoliashore.GroupName
	Services   []magnoliashore.ServiceName // empty means all of the group
	Body       []byte                      // sent to each target
	Deadline   time.Duration               // time for the answer, at most a minute; zero means the default of the service
	AtMostOnce bool                        // run the query at most once, under a ticket that the client creates
	Merge      magnoliashore.Merge
}

// Query sends a query and returns its answer. An error means that no entry host
// returned a final answer. The returned answer is valid in this case too: its
// outcome states what the client could determine. When ctx ends, the query is
// cancelled.
func (c *Client) Query(ctx context.Context, request Request) (magnoliashore.Answer, error) {
	c.prepareOnce.Do(c.prepare)
	if request.ID == "" {
		request.ID = magnoliashore.QueryID(randomID())
	}
	deadline, deadlineSet := c.deadline(ctx, request)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	entries, err := c.Entries(ctx)
	if err != nil {
		return notSentAnswer(request), err
	}
	run := &queryRun{
		client:      c,
		request:     request,
		deadline:    deadline,
		deadlineSet: deadlineSet,
		candidates:  c.suspectsLast(orderByZone(entries.List(), c.Zone)),
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
	c.fetching = make(chan struct{}, 1)
	c.http = newHTTPClient(c.HTTP)
}

// deadline returns when the client stops waiting, and whether the caller set this
// time.
func (c *Client) deadline(ctx context.Context, request Request) (time.Time, bool) {
	deadlineSet := request.Deadline > 0
	timeout := maxDeadline
	if deadlineSet {
		timeout = min(request.Deadline, maxDeadline)
	}
	deadline := c.clock.Now().Add(timeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit, true
	}
	return deadline, deadlineSet
}

// notSentAnswer returns the answer to a query that was not sent.
func notSentAnswer(request Request) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:   request.ID,
		Outcome: magnoliashore.OutcomeNotRun,
		Reason:  magnoliashore.ReasonUnreachable,
		Detail:  "the query was not sent to any entry host",
	})
}

// lostAnswer returns the answer to a query that may have run but got no final
// answer.
func lostAnswer(request Request) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:   request.ID,
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  magnoliashore.ReasonLost,
		Detail:  "the query was sent, but no final answer arrived",
	})
}
