package entry

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/ticket"
)

// tickets guards the ledger, and passes the answer of a query to the callers that
// joined it while it was running.
type tickets struct {
	host *Host

	mu     sync.Mutex
	ledger *ticket.Ledger
	joined map[magnoliashore.Ticket][]chan magnoliashore.Answer // callers waiting for a running query
}

func newTickets(h *Host, ledger *ticket.Ledger) *tickets {
	return &tickets{
		host:   h,
		ledger: ledger,
		joined: make(map[magnoliashore.Ticket][]chan magnoliashore.Answer),
	}
}

func (t *tickets) epoch() magnoliashore.Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Epoch(t.host.Timer.Now())
}

// begin returns the ledger's decision for a ticket. If it is Joined, begin also
// returns the channel that receives the final answer.
func (t *tickets) begin(tk magnoliashore.Ticket) (ticket.Decision, magnoliashore.Answer, chan magnoliashore.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision, answer := t.ledger.Begin(t.host.Timer.Now(), tk)
	if decision != ticket.Joined {
		return decision, answer, nil
	}
	arrival := make(chan magnoliashore.Answer, 1)
	t.joined[tk] = append(t.joined[tk], arrival)
	return decision, answer, arrival
}

// finish records the final answer and sends it to every caller that joined.
func (t *tickets) finish(tk magnoliashore.Ticket, answer magnoliashore.Answer) {
	t.mu.Lock()
	t.ledger.Finish(t.host.Timer.Now(), tk, answer)
	joined := t.joined[tk]
	delete(t.joined, tk)
	t.mu.Unlock()
	for _, arrival := range joined {
		arrival <- answer
	}
}

// queryAtMostOnce answers a non-idempotent query. It runs at most once over all
// entry hosts, however often the caller sends it.
func (h *Host) queryAtMostOnce(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	decision, answer, arrival := h.tickets.begin(query.Ticket())
	switch decision {
	case ticket.Run:
		return h.runAtMostOnce(query)
	case ticket.Joined:
		h.emit(magnoliashore.EventSpec{Code: event.TicketDuplicate, Query: query.ID(), Detail: "joined"})
		return h.awaitRunning(ctx, query, arrival)
	case ticket.Final:
		h.emit(magnoliashore.EventSpec{Code: event.TicketDuplicate, Query: query.ID(), Detail: "answered before"})
		return answer
	case ticket.Refused:
		h.emit(magnoliashore.EventSpec{Code: event.LedgerFull, Query: query.ID()})
		return h.refuse(query, magnoliashore.ReasonTicket, "the ticket's epoch takes no new tickets",
			h.Settings.Lease.Heartbeat)
	case ticket.Elsewhere:
		return h.forward(ctx, query)
	default:
		h.emit(magnoliashore.EventSpec{Code: event.TicketUnknown, Query: query.ID()})
		return h.unknownAnswer(query, magnoliashore.ReasonTicket, "the ticket is of an earlier process or epoch")
	}
}

// runAtMostOnce runs the query to its end even if the caller disconnects, so that
// the ledger records its real outcome.
func (h *Host) runAtMostOnce(query magnoliashore.Query) (answer magnoliashore.Answer) {
	answer = h.unknownAnswer(query, magnoliashore.ReasonFault, "the query failed inside the entry host")
	defer func() { h.tickets.finish(query.Ticket(), answer) }()
	answer = h.run(context.Background(), query)
	return answer
}

// awaitRunning waits for the answer of the copy of the query that is already
// running.
func (h *Host) awaitRunning(
	ctx context.Context, query magnoliashore.Query, arrival chan magnoliashore.Answer,
) magnoliashore.Answer {
	deadline := h.Timer.At(query.Deadline())
	defer deadline.Stop()
	select {
	case answer := <-arrival:
		return answer
	case <-deadline.C:
	case <-ctx.Done():
	}
	return h.unknownAnswer(query, magnoliashore.ReasonDeadline, "the first copy of the query is still running")
}

// forward passes the query to the host that its ticket names. If that fails, the
// outcome is unknown, since another copy may have reached that host.
func (h *Host) forward(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	link, ok := h.control.link(query.Ticket().Host())
	if !ok {
		return h.unknownAnswer(query, magnoliashore.ReasonTicket, "the entry host that the ticket names cannot be reached")
	}
	ctx, cancel := context.WithTimeout(ctx, query.Deadline().Sub(h.Timer.Now())+forwardGrace)
	defer cancel()
	answer, err := link.Forward(ctx, query)
	if err != nil {
		return h.unknownAnswer(query, magnoliashore.ReasonTicket, "the entry host that the ticket names did not answer")
	}
	return answer
}

// forwardGrace is how long after the deadline to wait for the forwarded answer.
const forwardGrace = 20 * time.Millisecond

// unknownAnswer returns an answer with an unknown outcome.
func (h *Host) unknownAnswer(query magnoliashore.Query, reason magnoliashore.Reason, detail string) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query: query.ID(), Outcome: magnoliashore.OutcomeUnknown, Reason: reason, Detail: detail,
		Host: h.Settings.Host,
	})
}

// refuse returns the answer for a query that did not run, and emits an event.
func (h *Host) refuse(
	query magnoliashore.Query, reason magnoliashore.Reason, detail string, retryAfter time.Duration,
) magnoliashore.Answer {
	h.emit(magnoliashore.EventSpec{Code: event.QueryRefused, Query: query.ID(), Detail: string(reason) + ": " + detail})
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query: query.ID(), Outcome: magnoliashore.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter,
		Host: h.Settings.Host,
	})
}
