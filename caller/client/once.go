package client

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// runOnce sends a query with a ticket. While nothing is known it sends the
// same ticket again, to learn the outcome; it never makes a second ticket.
func (a *attempts) runOnce(ctx context.Context) (magnoliashore.Answer, error) {
	pause := firstPause
	for {
		for _, entry := range a.order {
			got, ok := a.send(ctx, entry)
			if !ok {
				return a.end()
			}
			if got.err == nil && a.final(got.answer) {
				return got.answer, nil
			}
			a.note(got)
			if got.sent {
				break
			}
		}
		if !a.maybe || !a.wait(ctx, pause) {
			return a.end()
		}
		pause = min(2*pause, longestPause)
	}
}

// final reports whether the answer settles the outcome. Only the host of the
// ticket knows that a query did not run, once it may have got it, or that
// nobody can know.
func (a *attempts) final(answer magnoliashore.Answer) bool {
	fromHost := answer.Host() == a.ticket.Host()
	switch answer.Outcome() {
	case magnoliashore.OutcomeRan:
		return true
	case magnoliashore.OutcomeNotRun:
		return fromHost || !a.maybe
	default:
		return fromHost
	}
}

// wait pauses before the next send; false means that no time is left for it.
func (a *attempts) wait(ctx context.Context, pause time.Duration) bool {
	if a.client.clock.Now().Add(pause).After(a.deadline) {
		return false
	}
	wake := a.client.timers.After(pause)
	defer wake.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake.C:
		return true
	}
}
