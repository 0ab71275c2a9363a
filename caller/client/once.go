package client

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// runAtMostOnce sends a query with a ticket. Until it gets a final answer it
// retries with the same ticket, to find out the outcome. It never creates a second
// ticket.
func (r *queryRun) runAtMostOnce(ctx context.Context) (magnoliashore.Answer, error) {
	backoff := initialBackoff
	for {
		for _, entry := range r.candidates {
			result, ok := r.send(ctx, entry)
			if !ok {
				return r.giveUp()
			}
			if result.err == nil && r.isFinal(result.answer) {
				return result.answer, nil
			}
			r.record(result)
			if result.maybeSent {
				break
			}
		}
		if !r.mayHaveRun || !r.wait(ctx, backoff) {
			return r.giveUp()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isFinal reports whether the answer decides the outcome. Once the query may have
// been received, only the ticket's host can tell that it did not run, or that its
// outcome cannot be determined.
func (r *queryRun) isFinal(answer magnoliashore.Answer) bool {
	fromTicketHost := answer.Host() == r.ticket.Host()
	switch answer.Outcome() {
	case magnoliashore.OutcomeRan:
		return true
	case magnoliashore.OutcomeNotRun:
		return fromTicketHost || !r.mayHaveRun
	default:
		return fromTicketHost
	}
}

// wait waits for the backoff before the next attempt. It returns false if the
// deadline is too close or ctx ends.
func (r *queryRun) wait(ctx context.Context, backoff time.Duration) bool {
	if r.client.clock.Now().Add(backoff).After(r.deadline) {
		return false
	}
	timer := r.client.timers.After(backoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
