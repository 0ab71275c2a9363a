package client

import (
	"context"

	"github.com/magnoliashore/magnoliashore"
)

// defaultRetry is how often an idempotent query is sent after the first time.
const defaultRetry = 1

// runIdempotent sends the query to one entry after the other. An address that
// refuses the connection costs nothing; other failures spend a retry.
func (a *attempts) runIdempotent(ctx context.Context) (magnoliashore.Answer, error) {
	left := a.retries()
	for i, entry := range a.order {
		got, ok := a.send(ctx, entry)
		if !ok {
			break
		}
		last := i == len(a.order)-1
		if got.err == nil && (last || left == 0 || !elsewhere(got.answer)) {
			return a.settle(got.answer), nil
		}
		a.note(got)
		if !got.sent {
			continue
		}
		if left == 0 {
			break
		}
		left--
	}
	return a.end()
}

// settle returns the answer, or, if it says that the query did not run while
// an earlier send may have, one that says so.
func (a *attempts) settle(answer magnoliashore.Answer) magnoliashore.Answer {
	if !a.maybe || answer.Outcome() != magnoliashore.OutcomeNotRun {
		return answer
	}
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:   answer.Query(),
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  answer.Reason(),
		Detail:  "an earlier send may have run; the last was refused: " + answer.Detail(),
		After:   answer.After(),
		Host:    answer.Host(),
	})
}

func (a *attempts) retries() int {
	switch {
	case a.client.MaxRetries < 0:
		return 0
	case a.client.MaxRetries == 0:
		return defaultRetry
	default:
		return a.client.MaxRetries
	}
}

// elsewhere reports whether another entry host may do better. One that
// refuses for load is not among them: a retry would add to the load.
func elsewhere(answer magnoliashore.Answer) bool {
	switch answer.Outcome() {
	case magnoliashore.OutcomeRan:
		return false
	case magnoliashore.OutcomeNotRun:
		return elsewhereNotRun(answer.Reason())
	default:
		return true
	}
}

func elsewhereNotRun(reason magnoliashore.Reason) bool {
	switch reason {
	case magnoliashore.ReasonStarting, magnoliashore.ReasonLeaving,
		magnoliashore.ReasonOwner, magnoliashore.ReasonUnreachable:
		return true
	default:
		return false
	}
}
