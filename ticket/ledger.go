// Package ticket provides the ledger by which one entry host runs each
// non-idempotent query at most once.
//
// A ticket names the incarnation that alone may run it, and one of its epochs.
// The ledger accepts the present epoch and the one before it, and holds every
// ticket of those that was used. It is kept in memory only: a new incarnation
// starts with an empty ledger and answers unknown to every older ticket.
package ticket

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	// longestID is the longest id of a ticket, in bytes.
	longestID = 64
	// leastLength is the shortest length of an epoch.
	leastLength = time.Millisecond
	// earlyShare divides Length: an epoch that is closed ends after this part
	// of it.
	earlyShare = 8
	// shortestAfter is the shortest advice when to come back.
	shortestAfter = time.Millisecond
)

// Config holds what a Ledger works with.
type Config struct {
	Host           magnoliashore.HostID      // seat of this entry host
	Incarnation    magnoliashore.Incarnation // this process
	EpochLength    time.Duration             // length of an epoch, at least 1 ms
	MaxTickets     int                       // tickets held at most, at least 1
	MaxAnswerBytes int                       // estimated size of all held answers at most, 0 to hold none
}

// Ledger records which tickets were used and with what answer. It is not safe
// for concurrent use.
//
// Once a ticket was refused because the ledger is full, its epoch is closed
// to every ticket that the ledger does not hold. A closed epoch ends early,
// after an eighth of Length, so a ticket is answered unknown for its age only
// when at least this time has passed since Epoch last returned its epoch.
type Ledger struct {
	cfg     Config
	epoch   magnoliashore.Epoch // the present one
	start   time.Time           // of the present epoch
	present *book
	past    *book // of the epoch before
	running map[key]struct{}
}

// key is a ticket of this incarnation.
type key struct {
	epoch magnoliashore.Epoch
	id    string
}

// New returns an empty ledger whose first epoch starts at now.
func New(cfg Config, now time.Time) *Ledger {
	cfg.EpochLength = max(cfg.EpochLength, leastLength)
	cfg.MaxTickets = max(cfg.MaxTickets, 1)
	cfg.MaxAnswerBytes = max(cfg.MaxAnswerBytes, 0)
	return &Ledger{
		cfg:     cfg,
		epoch:   1,
		start:   now,
		present: newBook(),
		past:    newBook(),
		running: make(map[key]struct{}),
	}
}

// Epoch returns the epoch to make new tickets with. The ledger accepts it and
// the one before it.
func (l *Ledger) Epoch(now time.Time) magnoliashore.Epoch {
	l.advance(now)
	return l.epoch
}

// Len returns the number of tickets held, running ones included.
func (l *Ledger) Len() int {
	return len(l.running) + l.present.len() + l.past.len()
}

// Begin decides what to do with a query that carries t. The answer is final
// with Final, Unknown and Refused, and says nothing with the other verdicts.
// Refused stays true for good; it comes with the reason request for an id that
// is empty or longer than 64 bytes, and with busy for a closed epoch.
func (l *Ledger) Begin(now time.Time, t magnoliashore.Ticket) (Decision, magnoliashore.Answer) {
	l.advance(now)
	if t.ID() == "" || len(t.ID()) > longestID {
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
	b := l.book(k.epoch)
	if b == nil {
		return Unknown, l.unknown("ticket is of an epoch that is not accepted")
	}
	if r, ok := b.records[k.id]; ok {
		return l.repeat(r)
	}
	if b.closed || l.full() {
		b.closed = true
		return Refused, l.refuse(magnoliashore.ReasonBusy, "ticket epoch is closed", l.after(now))
	}
	l.running[k] = struct{}{}
	return Run, magnoliashore.Answer{}
}

// Finish records the final answer to a ticket for which Begin returned Run.
// For any other ticket, and after the first call, it does nothing. A ticket
// whose epoch has ended is forgotten. The caller must not change what answer
// holds.
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
	b := l.book(k.epoch)
	if b == nil {
		return
	}
	b.add(k.id, answer)
	l.shrink()
}

// repeat returns the answer of a finished ticket.
func (l *Ledger) repeat(r *record) (Decision, magnoliashore.Answer) {
	if r.lost {
		return Unknown, l.unknown("the answer is no longer held")
	}
	return Final, r.answer
}

// shrink drops the oldest answers until the held ones fit Bytes.
func (l *Ledger) shrink() {
	for l.past.bytes+l.present.bytes > l.cfg.MaxAnswerBytes {
		if !l.past.lose() {
			l.present.lose()
		}
	}
}

// book returns the book of an epoch, or nil if it is not accepted.
func (l *Ledger) book(epoch magnoliashore.Epoch) *book {
	switch {
	case epoch == 0:
		return nil
	case epoch == l.epoch:
		return l.present
	case epoch+1 == l.epoch:
		return l.past
	default:
		return nil
	}
}

// advance starts the epochs that are due. The finished tickets of an epoch
// that is no longer accepted are forgotten; its running ones stay.
func (l *Ledger) advance(now time.Time) {
	age := now.Sub(l.start)
	if age >= l.cfg.EpochLength {
		steps := int64(age / l.cfg.EpochLength)
		l.move(steps, l.start.Add(time.Duration(steps)*l.cfg.EpochLength))
		return
	}
	if l.present.closed && age >= l.cfg.EpochLength/earlyShare {
		l.move(1, now)
	}
}

// move makes the epoch that is steps later the present one.
func (l *Ledger) move(steps int64, start time.Time) {
	l.past = l.present
	if steps > 1 {
		l.past = newBook()
	}
	l.present = newBook()
	l.epoch += magnoliashore.Epoch(steps)
	l.start = start
}

// full reports whether no new ticket can be recorded.
func (l *Ledger) full() bool { return l.Len() >= l.cfg.MaxTickets }

// after returns how long until a new ticket may be accepted.
func (l *Ledger) after(now time.Time) time.Duration {
	if !l.present.closed && !l.full() {
		return shortestAfter
	}
	end := l.start.Add(l.cfg.EpochLength / earlyShare)
	return max(end.Sub(now), shortestAfter)
}

// refuse returns the answer to a ticket that was never used.
func (l *Ledger) refuse(reason magnoliashore.Reason, detail string, after time.Duration) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeNotRun,
		Reason:  reason,
		Detail:  detail,
		After:   after,
		Host:    l.cfg.Host,
	})
}

// unknown returns the answer to a ticket that may have been used.
func (l *Ledger) unknown(detail string) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeUnknown,
		Reason:  magnoliashore.ReasonTicket,
		Detail:  detail,
		Host:    l.cfg.Host,
	})
}
