package entry

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/ticket"
)

// tickets guards the ledger and wakes the callers that joined a running query.
type tickets struct {
	host *Host

	mu      sync.Mutex
	ledger  *ticket.Ledger
	waiting map[magnoliashore.Ticket][]chan magnoliashore.Answer
}

func newTickets(h *Host, ledger *ticket.Ledger) *tickets {
	return &tickets{
		host:    h,
		ledger:  ledger,
		waiting: make(map[magnoliashore.Ticket][]chan magnoliashore.Answer),
	}
}

func (t *tickets) epoch() magnoliashore.Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Epoch(t.host.Timer.Now())
}

// begin asks the ledger; with Joined it also returns where the final answer
// will arrive.
func (t *tickets) begin(tk magnoliashore.Ticket) (ticket.Decision, magnoliashore.Answer, chan magnoliashore.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, answer := t.ledger.Begin(t.host.Timer.Now(), tk)
	if verdict != ticket.Joined {
		return verdict, answer, nil
	}
	arrival := make(chan magnoliashore.Answer, 1)
	t.waiting[tk] = append(t.waiting[tk], arrival)
	return verdict, answer, arrival
}

// finish records the final answer and hands it to everyone who joined.
func (t *tickets) finish(tk magnoliashore.Ticket, answer magnoliashore.Answer) {
	t.mu.Lock()
	t.ledger.Finish(t.host.Timer.Now(), tk, answer)
	joined := t.waiting[tk]
	delete(t.waiting, tk)
	t.mu.Unlock()
	for _, arrival := range joined {
		arrival <- answer
	}
}

// once answers a non-idempotent query: it runs at most once over all entry
// hosts, however often the caller sends it.
func (h *Host) once(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	verdict, answer, arrival := h.tickets.begin(query.Ticket())
	switch verdict {
	case ticket.Run:
		return h.runOnce(query)
	case ticket.Joined:
		h.emit(magnoliashore.EventSpec{Code: event.TicketDuplicate, Query: query.ID(), Detail: "joined"})
		return h.awaitOnce(ctx, query, arrival)
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
		return h.unknown(query, magnoliashore.ReasonTicket, "the ticket is of an earlier process or epoch")
	}
}

// runOnce runs the query to its end even if the caller goes away, so that the
// ledger has its true outcome.
func (h *Host) runOnce(query magnoliashore.Query) (answer magnoliashore.Answer) {
	answer = h.unknown(query, magnoliashore.ReasonFault, "the query failed inside the entry host")
	defer func() { h.tickets.finish(query.Ticket(), answer) }()
	answer = h.run(context.Background(), query)
	return answer
}

func (h *Host) awaitOnce(
	ctx context.Context, query magnoliashore.Query, arrival chan magnoliashore.Answer,
) magnoliashore.Answer {
	late := h.Timer.At(query.Deadline())
	defer late.Stop()
	select {
	case answer := <-arrival:
		return answer
	case <-late.C:
	case <-ctx.Done():
	}
	return h.unknown(query, magnoliashore.ReasonDeadline, "the first copy of the query is still running")
}

// forward passes the query to the host that its ticket names. Where that
// fails, nothing is known: another copy may have reached that host.
func (h *Host) forward(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	link, ok := h.control.link(query.Ticket().Host())
	if !ok {
		return h.unknown(query, magnoliashore.ReasonTicket, "the entry host that the ticket names cannot be reached")
	}
	ctx, cancel := context.WithTimeout(ctx, query.Deadline().Sub(h.Timer.Now())+forwardWait)
	defer cancel()
	answer, err := link.Forward(ctx, query)
	if err != nil {
		return h.unknown(query, magnoliashore.ReasonTicket, "the entry host that the ticket names did not answer")
	}
	return answer
}

// forwardWait is how long after the deadline the named host's word is awaited.
const forwardWait = 20 * time.Millisecond

func (h *Host) unknown(query magnoliashore.Query, reason magnoliashore.Reason, detail string) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query: query.ID(), Outcome: magnoliashore.OutcomeUnknown, Reason: reason, Detail: detail,
		Host: h.Settings.Host,
	})
}

func (h *Host) refuse(
	query magnoliashore.Query, reason magnoliashore.Reason, detail string, after time.Duration,
) magnoliashore.Answer {
	h.emit(magnoliashore.EventSpec{Code: event.QueryRefused, Query: query.ID(), Detail: string(reason) + ": " + detail})
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query: query.ID(), Outcome: magnoliashore.OutcomeNotRun, Reason: reason, Detail: detail, After: after,
		Host: h.Settings.Host,
	})
}
