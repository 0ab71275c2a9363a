package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/wire"
)

// randomBytes is the length of ids before they are written in hexadecimal.
const randomBytes = 16

// attempts is the work on one query.
type attempts struct {
	client   *Client
	request  Request
	deadline time.Time
	order    []magnoliashore.Entry // to try, the nearest first
	stated   bool                  // the caller stated the deadline
	ticket   magnoliashore.Ticket
	maybe    bool                  // an earlier send may have run
	last     *magnoliashore.Answer // the latest answer that was not final
	faults   []error
}

func (a *attempts) run(ctx context.Context) (magnoliashore.Answer, error) {
	if a.request.AtMostOnce {
		first := a.order[0]
		a.ticket = magnoliashore.NewTicket(first.Host(), first.Incarnation(), first.Epoch(), randomID())
		return a.runOnce(ctx)
	}
	return a.runIdempotent(ctx)
}

func randomID() string {
	id := make([]byte, randomBytes)
	// Read never fails; it ends the process instead.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// send sends the query to one entry with the time that is left; false means
// that none is.
func (a *attempts) send(ctx context.Context, entry magnoliashore.Entry) (result, bool) {
	now := a.client.clock.Now()
	left := a.deadline.Sub(now)
	if left < a.client.margin || ctx.Err() != nil {
		return result{}, false
	}
	body, err := wire.EncodeQuery(wire.CBOR, a.query(now), now)
	if err != nil {
		return result{err: err}, true
	}
	got := a.client.send(ctx, entry.Address(), body, left/connectShare)
	if got.leaving || !got.sent {
		a.client.forget()
	}
	if got.err != nil {
		a.faults = append(a.faults, got.err)
	}
	if got.err != nil && got.sent {
		a.client.suspect(ctx, entry.Address())
	}
	return got, true
}

func (a *attempts) query(now time.Time) magnoliashore.Query {
	spec := magnoliashore.QuerySpec{
		ID:       a.request.ID,
		Group:    a.request.Group,
		Services: a.request.Services,
		Body:     a.request.Body,
		Once:     a.request.AtMostOnce,
		Ticket:   a.ticket,
		Merge:    a.request.Merge,
	}
	if a.stated {
		spec.Deadline = a.deadline.Add(-a.client.margin)
	}
	return magnoliashore.NewQuery(spec)
}

// note records what a send that was not final says of the outcome.
func (a *attempts) note(got result) {
	if got.err != nil {
		a.maybe = a.maybe || got.sent
		return
	}
	a.maybe = a.maybe || got.answer.Outcome() != magnoliashore.OutcomeNotRun
	a.last = &got.answer
}

// end returns what is known when no final answer came.
func (a *attempts) end() (magnoliashore.Answer, error) {
	a.faults = append(a.faults, errors.New("no final answer within the deadline"))
	err := errors.Join(a.faults...)
	if a.last != nil && a.maybe == (a.last.Outcome() == magnoliashore.OutcomeUnknown) {
		return *a.last, err
	}
	if a.maybe {
		return lost(a.request), err
	}
	return unsent(a.request), err
}
