package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const testLength = 8 * time.Second

var start = time.Unix(1000, 0)

func testLedger(size, bytes int) *Ledger {
	return New(Config{Host: "e1", Incarnation: 7, EpochLength: testLength, MaxTickets: size, MaxAnswerBytes: bytes}, start)
}

func testTicket(epoch magnoliashore.Epoch, id string) magnoliashore.Ticket {
	return magnoliashore.NewTicket("e1", 7, epoch, id)
}

// answer returns an answer with one partial result of the given size.
func answer(outcome magnoliashore.Outcome, bytes int) magnoliashore.Answer {
	part := magnoliashore.NewPart("p", "t", make([]byte, bytes))
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: outcome,
		Parts:   []magnoliashore.Part{part},
	})
}

// check fails the test if got differs from want; name is printed.
func check[T comparable](t *testing.T, name string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

func TestBegin(t *testing.T) {
	t.Parallel()
	const ran, notrun, unknown = magnoliashore.OutcomeRan, magnoliashore.OutcomeNotRun, magnoliashore.OutcomeUnknown
	for _, test := range []struct {
		name    string
		ticket  magnoliashore.Ticket
		want    Decision
		outcome magnoliashore.Outcome
		reason  magnoliashore.Reason
	}{
		{"new", testTicket(3, "new"), Run, unknown, ""},
		{"previous epoch", testTicket(2, "new"), Run, unknown, ""},
		{"old epoch", testTicket(1, "new"), Unknown, unknown, "ticket"},
		{"epoch zero", testTicket(0, "new"), Unknown, unknown, "ticket"},
		{"future epoch", testTicket(4, "new"), Unknown, unknown, "ticket"},
		{"running", testTicket(2, "running"), Joined, unknown, ""},
		{"running in ended epoch", testTicket(1, "running"), Joined, unknown, ""},
		{"finished", testTicket(2, "done"), Final, ran, ""},
		{"finished in ended epoch", testTicket(1, "done"), Unknown, unknown, "ticket"},
		{"same id in another epoch", testTicket(3, "done"), Run, unknown, ""},
		{"no id", testTicket(3, ""), Refused, notrun, "request"},
		{"id of 64 bytes", testTicket(3, strings.Repeat("x", 64)), Run, unknown, ""},
		{"id of 65 bytes", testTicket(3, strings.Repeat("x", 65)), Refused, notrun, "request"},
		{"no ticket", magnoliashore.Ticket{}, Refused, notrun, "request"},
		{"older incarnation", magnoliashore.NewTicket("e1", 6, 3, "new"), Unknown, unknown, "ticket"},
		{"newer incarnation", magnoliashore.NewTicket("e1", 8, 3, "new"), Unknown, unknown, "ticket"},
		{"another host", magnoliashore.NewTicket("e2", 7, 3, "new"), Elsewhere, unknown, ""},
	} {
		l := testLedger(20, 1<<20)
		now := start
		for epoch := range magnoliashore.Epoch(2) {
			l.Begin(now, testTicket(epoch+1, "running"))
			l.Begin(now, testTicket(epoch+1, "done"))
			l.Finish(now, testTicket(epoch+1, "done"), answer(ran, 10))
			now = now.Add(testLength)
		}
		decision, final := l.Begin(now, test.ticket)
		check(t, test.name, decision, test.want)
		check(t, test.name, final.Outcome(), test.outcome)
		check(t, test.name, final.Reason(), test.reason)
	}
}

// TestFullLedgerClosesEpoch fills the ledger, frees capacity, and sends the
// refused tickets again. They must stay refused until their epoch ends, and
// tickets of a later epoch must run.
func TestFullLedgerClosesEpoch(t *testing.T) {
	t.Parallel()
	const closedLength = testLength / closedEpochDivisor
	l := testLedger(2, 1<<20)
	expect := func(at time.Duration, epoch magnoliashore.Epoch, id string, want Decision) magnoliashore.Answer {
		t.Helper()
		decision, final := l.Begin(start.Add(at), testTicket(epoch, id))
		check(t, id, decision, want)
		return final
	}
	expect(0, 1, "a", Run)
	expect(0, 1, "b", Run)
	check(t, "after", expect(0, 1, "c", Refused).RetryAfter(), closedLength)
	check(t, "epoch at once", l.Epoch(start), 1)
	check(t, "epoch after an eighth", l.Epoch(start.Add(closedLength)), 2)
	expect(closedLength, 1, "a", Joined)
	expect(closedLength, 2, "d", Refused)
	expect(2*closedLength, 3, "e", Refused)
	l.Finish(start.Add(2*closedLength), testTicket(1, "a"), answer(magnoliashore.OutcomeRan, 1))
	check(t, "length without the finished one of an ended epoch", l.Len(), 1)
	expect(2*closedLength, 2, "d", Refused)
	expect(2*closedLength, 2, "f", Refused)
	expect(3*closedLength, 4, "g", Run)
	expect(3*closedLength, 3, "e", Refused)
	expect(3*closedLength, 2, "d", Unknown)
	expect(3*closedLength, 1, "b", Joined)
}

// TestMaxAnswerBytes finishes four tickets in two epochs with capacity for two
// answers. The oldest two must be dropped, but a notrun must stay notrun.
func TestMaxAnswerBytes(t *testing.T) {
	t.Parallel()
	const ran, notrun, unknown = magnoliashore.OutcomeRan, magnoliashore.OutcomeNotRun, magnoliashore.OutcomeUnknown
	l := testLedger(20, 2*size(answer(ran, 1000)))
	outcomes := []magnoliashore.Outcome{notrun, ran, ran, ran}
	tickets := []magnoliashore.Ticket{testTicket(1, "a"), testTicket(1, "b"), testTicket(2, "c"), testTicket(2, "d")}
	now := start
	for i, ticket := range tickets {
		now = start.Add(time.Duration(ticket.Epoch()-1) * testLength)
		l.Begin(now, ticket)
		l.Finish(now, ticket, answer(outcomes[i], 1000))
	}
	for i, test := range []struct {
		decision Decision
		outcome  magnoliashore.Outcome
		parts    int
	}{{Final, notrun, 0}, {Unknown, unknown, 0}, {Final, ran, 1}, {Final, ran, 1}} {
		decision, final := l.Begin(now, tickets[i])
		check(t, tickets[i].ID(), decision, test.decision)
		check(t, tickets[i].ID(), final.Outcome(), test.outcome)
		check(t, tickets[i].ID(), len(final.Parts()), test.parts)
	}
}

// TestEpochsPassWithTime lets several epochs pass between two calls. The records
// of the first epoch must not count as those of a later one.
func TestEpochsPassWithTime(t *testing.T) {
	t.Parallel()
	for at, want := range map[time.Duration]magnoliashore.Epoch{
		-1: 1, 0: 1, testLength - 1: 1, testLength: 2, 2 * testLength: 3, 5*testLength + 1: 6,
	} {
		l := testLedger(5, 1<<20)
		l.Begin(start, testTicket(1, "a"))
		l.Finish(start, testTicket(1, "a"), answer(magnoliashore.OutcomeRan, 1))
		check(t, at.String(), l.Epoch(start.Add(at)), want)
		if want > 2 {
			decision, _ := l.Begin(start.Add(at), testTicket(want-1, "a"))
			check(t, "same id in another epoch", decision, Run)
		}
	}
}
