package target

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// exchange is one sub-request on its way to one target and back.
type exchange struct {
	pool    *Pool
	link    *link
	sub     magnoliashore.Sub
	attempt *attempt
	began   time.Time
}

// Send runs sub on the target, which Open has defined, and returns its final
// answer with the evidence it gave. The request is sent at most once. When ctx or the sub's deadline ends, the connection is closed,
// which cancels the request at the target; Send then returns when the target
// has let go of the request, at most Pool.Release later.
func (p *Pool) Send(
	ctx context.Context, sub magnoliashore.Sub, target magnoliashore.Target, permit magnoliashore.Permit,
) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	x := &exchange{pool: p, sub: sub, attempt: newAttempt(p.Clock, sub, permit), began: p.Clock.Now()}
	x.link = p.link(target)
	if x.link == nil {
		return magnoliashore.Refuse(sub, magnoliashore.ReasonLeaving, 0), magnoliashore.Evidence{}
	}
	defer x.link.leave()
	if x.attempt.passed() {
		return magnoliashore.Refuse(sub, x.attempt.reason, 0), magnoliashore.Evidence{}
	}
	ctx, release := p.bound(ctx, sub)
	defer release()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	x.attempt.stop = func() { stop(errStop) }
	return x.run(ctx)
}

// bound returns ctx with the sub's deadline.
func (p *Pool) bound(ctx context.Context, sub magnoliashore.Sub) (context.Context, context.CancelFunc) {
	if sub.Deadline().IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, sub.Deadline().Sub(p.Clock.Now()))
}

// given returns the reason for which the exchange was given up, ReasonNone if
// it was not.
func given(ctx context.Context) magnoliashore.Reason {
	cause := context.Cause(ctx)
	switch {
	case cause == nil, errors.Is(cause, errStop):
		return magnoliashore.ReasonNone
	case errors.Is(cause, context.DeadlineExceeded):
		return magnoliashore.ReasonDeadline
	default:
		return magnoliashore.ReasonCancelled
	}
}

// run does the exchange.
func (x *exchange) run(ctx context.Context) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	defer x.settle()
	resp, err := x.link.transport.RoundTrip(x.pool.request(ctx, x.sub, x.link, x.attempt))
	if err != nil {
		return x.failed(ctx)
	}
	answer := x.reply(ctx, resp)
	_ = resp.Body.Close()
	return answer, x.evidence(resp, answer)
}

// settle withdraws the right to write and closes a spoiled connection.
func (x *exchange) settle() {
	x.attempt.seal()
	if c, _, _ := x.attempt.state(); c != nil {
		c.settle(x.attempt)
	}
}

// failed returns the answer for an exchange without a reply. If bytes were
// written, it waits until the target has let go of the request.
func (x *exchange) failed(ctx context.Context) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	untouched := x.attempt.seal()
	c, _, refused := x.attempt.state()
	evidence := magnoliashore.Evidence{Took: x.took()}
	if untouched {
		return magnoliashore.Refuse(x.sub, x.unsent(ctx, c, refused), 0), evidence
	}
	reason := magnoliashore.ReasonDeadline
	if !refused {
		reason = x.lost(ctx)
	}
	x.letGo()
	return magnoliashore.Lose(x.sub, reason), evidence
}

// letGo closes the connection that the request was written to, and waits
// until the target has closed it too, at most for Pool.Release.
func (x *exchange) letGo() {
	c := x.attempt.by()
	if c == nil {
		return
	}
	_ = c.Close()
	<-c.done
}

// unsent returns why nothing was written. A deadline that passes before there
// is a connection means that the target cannot be reached.
func (x *exchange) unsent(ctx context.Context, c *conn, refused bool) magnoliashore.Reason {
	if refused {
		return x.attempt.reason
	}
	reason := given(ctx)
	if reason == magnoliashore.ReasonNone {
		return magnoliashore.ReasonUnreachable
	}
	if reason == magnoliashore.ReasonDeadline && c == nil {
		return magnoliashore.ReasonUnreachable
	}
	return reason
}

// lost returns why there is no whole reply after a byte was written.
func (x *exchange) lost(ctx context.Context) magnoliashore.Reason {
	if reason := given(ctx); reason != magnoliashore.ReasonNone {
		return reason
	}
	c, _, _ := x.attempt.state()
	if c != nil && c.broken.Load() {
		return magnoliashore.ReasonLost
	}
	return magnoliashore.ReasonInvalid
}

// took returns the time since the request got its connection, or since Send
// began if it got none.
func (x *exchange) took() time.Duration {
	_, at, _ := x.attempt.state()
	if at.IsZero() {
		at = x.began
	}
	return x.pool.Clock.Now().Sub(at)
}

// evidence returns what the reply and the answer made of it say.
func (x *exchange) evidence(resp *http.Response, answer magnoliashore.SubAnswer) magnoliashore.Evidence {
	refused := resp.Header.Get(headerRefused)
	return magnoliashore.Evidence{
		Took:        x.took(),
		Healthy:     answer.Outcome() == magnoliashore.OutcomeRan,
		Shed:        refused == refusedShed,
		Cold:        refused == refusedCold || resp.Header.Get(headerState) == stateCold,
		Incarnation: resp.Header.Get(headerIncarnation),
	}
}
