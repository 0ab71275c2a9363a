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

// randomIDBytes is the length of a random id before hexadecimal encoding.
const randomIDBytes = 16

// queryRun is the state of one query while the client sends it to entry hosts.
type queryRun struct {
	client      *Client
	request     Request
	deadline    time.Time
	candidates  []magnoliashore.Entry // entry hosts in the order to try, nearest first
	deadlineSet bool                  // the caller set the deadline
	ticket      magnoliashore.Ticket
	mayHaveRun  bool                  // an earlier attempt may have run the query
	lastAnswer  *magnoliashore.Answer // latest answer that was not final
	errs        []error
}

func (r *queryRun) run(ctx context.Context) (magnoliashore.Answer, error) {
	if r.request.AtMostOnce {
		first := r.candidates[0]
		r.ticket = magnoliashore.NewTicket(first.Host(), first.Incarnation(), first.Epoch(), randomID())
		return r.runAtMostOnce(ctx)
	}
	return r.runIdempotent(ctx)
}

func randomID() string {
	id := make([]byte, randomIDBytes)
	// Read never returns an error; a failure ends the process.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// send sends the query to one entry host with the remaining time. It returns
// false if less than the margin is left or ctx has ended.
func (r *queryRun) send(ctx context.Context, entry magnoliashore.Entry) (sendResult, bool) {
	now := r.client.clock.Now()
	timeLeft := r.deadline.Sub(now)
	if timeLeft < r.client.margin || ctx.Err() != nil {
		return sendResult{}, false
	}
	body, err := wire.EncodeQuery(wire.CBOR, r.query(now), now)
	if err != nil {
		return sendResult{err: err}, true
	}
	result := r.client.send(ctx, entry.Address(), body, timeLeft/connectDivisor)
	if result.leaving || !result.maybeSent {
		r.client.expireEntries()
	}
	if result.err != nil {
		r.errs = append(r.errs, result.err)
	}
	if result.err != nil && result.maybeSent {
		r.client.suspect(ctx, entry.Address())
	}
	return result, true
}

func (r *queryRun) query(now time.Time) magnoliashore.Query {
	spec := magnoliashore.QuerySpec{
		ID:       r.request.ID,
		Group:    r.request.Group,
		Services: r.request.Services,
		Body:     r.request.Body,
		Once:     r.request.AtMostOnce,
		Ticket:   r.ticket,
		Merge:    r.request.Merge,
	}
	if r.deadlineSet {
		spec.Deadline = r.deadline.Add(-r.client.margin)
	}
	return magnoliashore.NewQuery(spec)
}

// record stores what a result that is not final shows about the outcome.
func (r *queryRun) record(result sendResult) {
	if result.err != nil {
		r.mayHaveRun = r.mayHaveRun || result.maybeSent
		return
	}
	r.mayHaveRun = r.mayHaveRun || result.answer.Outcome() != magnoliashore.OutcomeNotRun
	r.lastAnswer = &result.answer
}

// giveUp returns the outcome known so far, and an error that joins the errors of
// all attempts.
func (r *queryRun) giveUp() (magnoliashore.Answer, error) {
	r.errs = append(r.errs, errors.New("no entry host returned a final answer"))
	err := errors.Join(r.errs...)
	if r.lastAnswer != nil && r.mayHaveRun == (r.lastAnswer.Outcome() == magnoliashore.OutcomeUnknown) {
		return *r.lastAnswer, err
	}
	if r.mayHaveRun {
		return lostAnswer(r.request), err
	}
	return notSentAnswer(r.request), err
}
