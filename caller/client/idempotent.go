package client

import (
	"context"

	"github.com/magnoliashore/magnoliashore"
)

// defaultMaxRetries is the default number of retries of an idempotent query.
const defaultMaxRetries = 1

// runIdempotent sends the query to one entry host after another. A failure to
// connect does not count as a retry; any other failure does.
func (r *queryRun) runIdempotent(ctx context.Context) (magnoliashore.Answer, error) {
	retriesLeft := r.maxRetries()
	for i, entry := range r.candidates {
		result, ok := r.send(ctx, entry)
		if !ok {
			break
		}
		last := i == len(r.candidates)-1
		if result.err == nil && (last || retriesLeft == 0 || !retryElsewhere(result.answer)) {
			return r.correctOutcome(result.answer), nil
		}
		r.record(result)
		if !result.maybeSent {
			continue
		}
		if retriesLeft == 0 {
			break
		}
		retriesLeft--
	}
	return r.giveUp()
}

// correctOutcome returns the answer unchanged, unless it reports that the query did
// not run although an earlier attempt may have run it. It then returns an answer
// with an unknown outcome.
func (r *queryRun) correctOutcome(answer magnoliashore.Answer) magnoliashore.Answer {
	if !r.mayHaveRun || answer.Outcome() != magnoliashore.OutcomeNotRun {
		return answer
	}
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:      answer.Query(),
		Outcome:    magnoliashore.OutcomeUnknown,
		Reason:     answer.Reason(),
		Detail:     "an earlier attempt may have run; the last was refused: " + answer.Detail(),
		RetryAfter: answer.RetryAfter(),
		Host:       answer.Host(),
	})
}

func (r *queryRun) maxRetries() int {
	switch {
	case r.client.MaxRetries < 0:
		return 0
	case r.client.MaxRetries == 0:
		return defaultMaxRetries
	default:
		return r.client.MaxRetries
	}
}

// retryElsewhere reports whether another entry host may give a better answer. It
// is false for a refusal because of overload: a retry would add to the load.
func retryElsewhere(answer magnoliashore.Answer) bool {
	switch answer.Outcome() {
	case magnoliashore.OutcomeRan:
		return false
	case magnoliashore.OutcomeNotRun:
		return retryNotRunElsewhere(answer.Reason())
	default:
		return true
	}
}

func retryNotRunElsewhere(reason magnoliashore.Reason) bool {
	switch reason {
	case magnoliashore.ReasonStarting, magnoliashore.ReasonLeaving,
		magnoliashore.ReasonOwner, magnoliashore.ReasonUnreachable:
		return true
	default:
		return false
	}
}
