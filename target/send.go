package target

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// exchange is one sub-request to one target and its reply.
type exchange struct {
	pool    *Pool
	link    *link
	sub     magnoliashore.Sub
	attempt *attempt
	start   time.Time
}

// Send runs sub on a target that Open has defined, and returns its final
// answer with the evidence from the reply. The request is sent at most once.
// When ctx or the sub's deadline ends, the connection is closed, which cancels
// the request at the target; Send then returns when the target has closed its
// side too, at most Pool.ReleaseTimeout later.
func (p *Pool) Send(
	ctx context.Context, sub magnoliashore.Sub, target magnoliashore.Target, permit magnoliashore.Permit,
) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	x := &exchange{pool: p, sub: sub, attempt: newAttempt(p.Clock, sub, permit), start: p.Clock.Now()}
	x.link = p.link(target)
	if x.link == nil {
		return magnoliashore.Refuse(sub, magnoliashore.ReasonLeaving, 0), magnoliashore.Evidence{}
	}
	defer x.link.endUse()
	if x.attempt.expired() {
		return magnoliashore.Refuse(sub, x.attempt.reason, 0), magnoliashore.Evidence{}
	}
	ctx, release := p.withDeadline(ctx, sub)
	defer release()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	x.attempt.abort = func() { stop(errNotWritten) }
	return x.run(ctx)
}

// withDeadline returns ctx with the sub's deadline.
func (p *Pool) withDeadline(ctx context.Context, sub magnoliashore.Sub) (context.Context, context.CancelFunc) {
	if sub.Deadline().IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, sub.Deadline().Sub(p.Clock.Now()))
}

// endReason returns why the exchange was abandoned; ReasonNone if it was not.
func endReason(ctx context.Context) magnoliashore.Reason {
	cause := context.Cause(ctx)
	switch {
	case cause == nil, errors.Is(cause, errNotWritten):
		return magnoliashore.ReasonNone
	case errors.Is(cause, context.DeadlineExceeded):
		return magnoliashore.ReasonDeadline
	default:
		return magnoliashore.ReasonCancelled
	}
}

// run sends the request and evaluates the reply.
func (x *exchange) run(ctx context.Context) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	defer x.cleanUp()
	resp, err := x.link.transport.RoundTrip(x.pool.request(ctx, x.sub, x.link, x.attempt))
	if err != nil {
		return x.failed(ctx)
	}
	answer := x.reply(ctx, resp)
	_ = resp.Body.Close()
	return answer, x.evidence(resp, answer)
}

// cleanUp revokes the permission to write and closes a discarded connection.
func (x *exchange) cleanUp() {
	x.attempt.revoke()
	if c, _, _ := x.attempt.state(); c != nil {
		c.closeIfDiscarded(x.attempt)
	}
}

// failed returns the answer for an exchange without a reply. If bytes were
// written, it closes the connection and waits for the target to close its
// side.
func (x *exchange) failed(ctx context.Context) (magnoliashore.SubAnswer, magnoliashore.Evidence) {
	nothingWritten := x.attempt.revoke()
	c, _, refused := x.attempt.state()
	evidence := magnoliashore.Evidence{Latency: x.took()}
	if nothingWritten {
		return magnoliashore.Refuse(x.sub, x.unsentReason(ctx, c, refused), 0), evidence
	}
	reason := magnoliashore.ReasonDeadline
	if !refused {
		reason = x.lossReason(ctx)
	}
	x.closeAndWait()
	return magnoliashore.Lose(x.sub, reason), evidence
}

// closeAndWait closes the connection that the request was written to, and
// waits until the target has closed its side too, at most for
// Pool.ReleaseTimeout.
func (x *exchange) closeAndWait() {
	c := x.attempt.writingConn()
	if c == nil {
		return
	}
	_ = c.Close()
	<-c.released
}

// unsentReason returns why nothing was written. A deadline that passes before
// there is a connection means that the target is unreachable.
func (x *exchange) unsentReason(ctx context.Context, c *conn, refused bool) magnoliashore.Reason {
	if refused {
		return x.attempt.reason
	}
	reason := endReason(ctx)
	if reason == magnoliashore.ReasonNone {
		return magnoliashore.ReasonUnreachable
	}
	if reason == magnoliashore.ReasonDeadline && c == nil {
		return magnoliashore.ReasonUnreachable
	}
	return reason
}

// lossReason returns why there is no complete reply after a byte was written.
func (x *exchange) lossReason(ctx context.Context) magnoliashore.Reason {
	if reason := endReason(ctx); reason != magnoliashore.ReasonNone {
		return reason
	}
	c, _, _ := x.attempt.state()
	if c != nil && c.broken.Load() {
		return magnoliashore.ReasonLost
	}
	return magnoliashore.ReasonInvalid
}

// took returns the time since the request obtained its connection, or since
// Send was called if it obtained none.
func (x *exchange) took() time.Duration {
	_, at, _ := x.attempt.state()
	if at.IsZero() {
		at = x.start
	}
	return x.pool.Clock.Now().Sub(at)
}

// evidence returns what the reply and the resulting answer show about the
// target.
func (x *exchange) evidence(resp *http.Response, answer magnoliashore.SubAnswer) magnoliashore.Evidence {
	refused := resp.Header.Get(headerRefused)
	return magnoliashore.Evidence{
		Latency:     x.took(),
		Healthy:     answer.Outcome() == magnoliashore.OutcomeRan,
		Shed:        refused == refusedShed,
		Cold:        refused == refusedCold || resp.Header.Get(headerState) == stateCold,
		Incarnation: resp.Header.Get(headerIncarnation),
	}
}
