// Package ticket provides the ledger with which an entry host runs each
// non-idempotent query at most once.
//
// A ticket is an idempotency key. It names the only incarnation (process) that
// may run its query, and an epoch of that incarnation. The ledger accepts the
// current and the previous epoch and holds every used ticket of both. It is kept
// in memory only: a new incarnation starts with an empty ledger and answers
// unknown to tickets of earlier incarnations.
package ticket

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	// maxIDBytes is the maximum length of a ticket's id.
	maxIDBytes = 64
	// minEpochLength is the minimum length of an epoch.
	minEpochLength = time.Millisecond
	// closedEpochDivisor divides EpochLength to give the length of an epoch that
	// is closed.
	closedEpochDivisor = 8
	// minRetryAfter is the shortest retry-after of a refusal.
	minRetryAfter = time.Millisecond
)

// Config holds the settings of a Ledger.
type Config struct {
	Host           magnoliashore.HostID      // seat of this entry host, as tickets name it
	Incarnation    magnoliashore.Incarnation // incarnation of this process
	EpochLength    time.Duration             // length of an epoch, at least 1 ms
	MaxTickets     int                       // maximum number of tickets held, at least 1
	MaxAnswerBytes int                       // maximum estimated size of all held answers, 0 to hold none
}

// Ledger records the used tickets and their answers. It is not safe for
// concurrent use.
//
// When the ledger is full, it refuses a new ticket and closes the ticket's epoch:
// the epoch then accepts no new tickets. A closed current epoch ends early, an
// eighth of EpochLength after its start. A ticket is therefore answered unknown
// because of its age only if at least an eighth of EpochLength has passed since
// Epoch last returned its epoch.
type Ledger struct {
	cfg      Config
	epoch    magnoliashore.Epoch // current epoch
	start    time.Time           // start of the current epoch
	current  *epochRecords
	previous *epochRecords    // records of the previous epoch
	running  map[key]struct{} // tickets whose query is running
}

// key identifies a ticket of this incarnation.
type key struct {
	epoch magnoliashore.Epoch
	id    string
}

// New returns an empty ledger whose first epoch starts at now.
func New(cfg Config, now time.Time) *Ledger {
	cfg.EpochLength = max(cfg.EpochLength, minEpochLength)
	cfg.MaxTickets = max(cfg.MaxTickets, 1)
	cfg.MaxAnswerBytes = max(cfg.MaxAnswerBytes, 0)
	return &Ledger{
		cfg:      cfg,
		epoch:    1,
		start:    now,
		current:  newEpochRecords(),
		previous: newEpochRecords(),
		running:  make(map[key]struct{}),
	}
}

// Epoch returns the current epoch, to be named in new tickets.
func (l *Ledger) Epoch(now time.Time) magnoliashore.Epoch {
	l.advance(now)
	return l.epoch
}

// Len returns the number of tickets held, including those whose query is running.
func (l *Ledger) Len() int {
	return len(l.running) + l.current.len() + l.previous.len()
}

// Begin decides what to do with a query that carries t. The answer is set for
// Final, Unknown and Refused, and empty for the other decisions. A refused ticket
// never runs later. The reason of a refusal is request if the id is empty or
// longer than 64 bytes, and busy if the epoch is closed.
func (l *Ledger) Begin(now time.Time, t magnoliashore.Ticket) (Decision, magnoliashore.Answer) {
	l.advance(now)
	if t.ID() == "" || len(t.ID()) > maxIDBytes {
		return Refused, l.refuse(magnoliashore.ReasonRequest, "ticket id must have 1 to 64 bytes", 0)
	}
	if t.Host() != l.cfg.Host {
		return Elsewhere, magnoliashore.Answer{}
	}
	if t.Incarnation() != l.cfg.Incarnation {
		return Unknown, l.unknown("ticket is of another incarnation")
	}
	return l.begin(now, key{epoch: t.Epoch(), id: t.ID()})
}

// begin decides on a ticket of this incarnation.
func (l *Ledger) begin(now time.Time, k key) (Decision, magnoliashore.Answer) {
	if _, ok := l.running[k]; ok {
		return Joined, magnoliashore.Answer{}
	}
	e := l.recordsOf(k.epoch)
	if e == nil {
		return Unknown, l.unknown("ticket is of an epoch that is not accepted")
	}
	if r, ok := e.records[k.id]; ok {
		return l.repeat(r)
	}
	if e.closed || l.full() {
		e.closed = true
		return Refused, l.refuse(magnoliashore.ReasonBusy, "ticket epoch is closed", l.retryAfter(now))
	}
	l.running[k] = struct{}{}
	return Run, magnoliashore.Answer{}
}

// Finish records the answer of a ticket for which Begin returned Run. For any
// other ticket, and after the first call, it does nothing. The answer is
// discarded if the ticket's epoch is no longer accepted. The caller must not
// change the answer afterwards.
func (l *Ledger) Finish(now time.Time, t magnoliashore.Ticket, answer magnoliashore.Answer) {
	l.advance(now)
	if t.Host() != l.cfg.Host || t.Incarnation() != l.cfg.Incarnation {
		return
	}
	k := key{epoch: t.Epoch(), id: t.ID()}
	if _, ok := l.running[k]; !ok {
		return
	}
	delete(l.running, k)
	e := l.recordsOf(k.epoch)
	if e == nil {
		return
	}
	e.add(k.id, answer)
	l.shrink()
}

// repeat returns the decision and answer for a finished ticket.
func (l *Ledger) repeat(r *record) (Decision, magnoliashore.Answer) {
	if r.dropped {
		return Unknown, l.unknown("the answer is no longer held")
	}
	return Final, r.answer
}

// shrink drops the oldest answers until the others fit into MaxAnswerBytes.
func (l *Ledger) shrink() {
	for l.previous.bytes+l.current.bytes > l.cfg.MaxAnswerBytes {
		if !l.previous.dropOldest() {
			l.current.dropOldest()
		}
	}
}

// recordsOf returns the records of an epoch, or nil if the epoch is not
// accepted.
func (l *Ledger) recordsOf(epoch magnoliashore.Epoch) *epochRecords {
	switch {
	case epoch == 0:
		return nil
	case epoch == l.epoch:
		return l.current
	case epoch+1 == l.epoch:
		return l.previous
	default:
		return nil
	}
}

// advance starts the epochs that are due. It discards the finished tickets of an
// epoch that is no longer accepted, but keeps its running ones.
func (l *Ledger) advance(now time.Time) {
	age := now.Sub(l.start)
	if age >= l.cfg.EpochLength {
		steps := int64(age / l.cfg.EpochLength)
		l.move(steps, l.start.Add(time.Duration(steps)*l.cfg.EpochLength))
		return
	}
	if l.current.closed && age >= l.cfg.EpochLength/closedEpochDivisor {
		l.move(1, now)
	}
}

// move makes the epoch that is steps after the current one the current epoch.
func (l *Ledger) move(steps int64, start time.Time) {
	l.previous = l.current
	if steps > 1 {
		l.previous = newEpochRecords()
	}
	l.current = newEpochRecords()
	l.epoch += magnoliashore.Epoch(steps)
	l.start = start
}

// full reports whether the ledger has no capacity for a new ticket.
func (l *Ledger) full() bool { return l.Len() >= l.cfg.MaxTickets }

// retryAfter returns the time until a new ticket may be accepted.
func (l *Ledger) retryAfter(now time.Time) time.Duration {
	if !l.current.closed && !l.full() {
		return minRetryAfter
	}
	end := l.start.Add(l.cfg.EpochLength / closedEpochDivisor)
	return max(end.Sub(now), minRetryAfter)
}

// refuse returns the notrun answer for a ticket that was never used.
func (l *Ledger) refuse(reason magnoliashore.Reason, detail string, retryAfter time.Duration) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome:    magnoliashore.OutcomeNotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retryAfter,
		Host:       l.cfg.Host,
	})
}

// unknown returns the answer for a ticket that may have been used.
func (l *Ledger) unknown(detail string) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  magnoliashore.ReasonTicket,
		Detail:  detail,
		Host:    l.cfg.Host,
	})
}
