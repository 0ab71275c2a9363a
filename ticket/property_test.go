package ticket

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliashore/magnoliashore"
)

// ticketState is the expected state of one ticket.
type ticketState struct {
	issued  time.Time // time at which it was made with the current epoch; zero if forged
	runs    int
	notrun  bool // was answered notrun
	running bool // running in the current incarnation
	answer  magnoliashore.Answer
}

// model drives the ledgers of one seat through restarts and checks their
// decisions.
type model struct {
	*rapid.T
	cfg       Config
	ledger    *Ledger
	now       time.Time
	epoch     magnoliashore.Epoch
	tickets   []magnoliashore.Ticket
	states    map[magnoliashore.Ticket]*ticketState
	decisions map[Decision]int
}

func (m *model) draw(low, high int) int { return rapid.IntRange(low, high).Draw(m.T, "n") }

// restart simulates a restart of the process.
func (m *model) restart() {
	m.cfg.Incarnation++
	m.ledger = New(m.cfg, m.now)
	m.epoch = 0
	for _, s := range m.states {
		s.running = false
	}
}

// issue makes a valid ticket.
func (m *model) issue() magnoliashore.Ticket {
	ticket := magnoliashore.NewTicket("e1", m.cfg.Incarnation, m.ledger.Epoch(m.now), fmt.Sprint(len(m.tickets)))
	m.tickets = append(m.tickets, ticket)
	m.states[ticket] = &ticketState{issued: m.now}
	return ticket
}

// forge makes a ticket with random fields, which may be invalid.
func (m *model) forge() {
	hosts := []magnoliashore.HostID{"e1", "e2", "e1", "e1"}
	ids := []string{"0", "1", "", fmt.Sprintf("%065d", 0)}
	incarnation := m.cfg.Incarnation + magnoliashore.Incarnation(m.draw(0, 1))
	epoch := m.ledger.Epoch(m.now) + magnoliashore.Epoch(m.draw(0, 2))
	ticket := magnoliashore.NewTicket(hosts[m.draw(0, 3)], incarnation, epoch, ids[m.draw(0, 3)])
	if m.states[ticket] == nil {
		m.tickets = append(m.tickets, ticket)
		m.states[ticket] = &ticketState{}
	}
}

// begin sends a ticket and checks the decision.
func (m *model) begin(ticket magnoliashore.Ticket) {
	decision, got := m.ledger.Begin(m.now, ticket)
	m.decisions[decision]++
	s := m.states[ticket]
	ok := s.running == (decision == Joined)
	want := magnoliashore.OutcomeUnknown
	switch decision {
	case Run:
		ok = ok && s.runs == 0 && !s.notrun
		s.runs++
		s.running = true
	case Refused:
		ok = ok && s.runs == 0
		s.notrun = true
		want = magnoliashore.OutcomeNotRun
	case Final:
		same := reflect.DeepEqual(got, s.answer) || s.notrun && reflect.DeepEqual(got, withoutLists(s.answer))
		ok = ok && s.runs == 1 && same
		want = s.answer.Outcome()
	case Unknown:
		ok = ok && m.mayBeUnknown(ticket, s)
	case Elsewhere:
		ok = ok && ticket.Host() != "e1"
	}
	if !ok || got.Outcome() != want {
		m.Fatalf("%+v: got %v with %+v; %+v", ticket, decision, got, s)
	}
}

// mayBeUnknown reports whether the ticket is old enough that its epoch may no
// longer be accepted, or whether its answer was dropped to free memory, which
// must not make a notrun unknown.
func (m *model) mayBeUnknown(ticket magnoliashore.Ticket, s *ticketState) bool {
	if ticket.Incarnation() != m.cfg.Incarnation || m.now.Sub(s.issued) >= m.cfg.EpochLength/closedEpochDivisor {
		return true
	}
	return m.ledger.recordsOf(ticket.Epoch()).records[ticket.ID()].dropped && !s.notrun
}

// finish records a random answer for a ticket, which has an effect only if the
// ticket is running.
func (m *model) finish(ticket magnoliashore.Ticket) {
	final := answer(magnoliashore.Outcome(m.draw(0, 2)), m.draw(0, 500))
	m.ledger.Finish(m.now, ticket, final)
	s := m.states[ticket]
	if s.running {
		s.running = false
		s.answer = final
		s.notrun = final.Outcome() == magnoliashore.OutcomeNotRun
	}
}

// check checks the invariants that hold after each step.
func (m *model) check() {
	running := 0
	for _, s := range m.states {
		if s.running {
			running++
		}
	}
	epoch, length := m.ledger.Epoch(m.now), m.ledger.Len()
	heldBytes := m.ledger.previous.bytes + m.ledger.current.bytes
	if epoch < m.epoch || heldBytes > m.cfg.MaxAnswerBytes || length > m.cfg.MaxTickets || length < running {
		m.Fatalf("got epoch %d after %d, %d bytes, length %d with %d running; %+v", epoch, m.epoch, heldBytes, length, running, m.cfg)
	}
	m.epoch = epoch
}

// step performs one random event. Recent tickets are drawn more often.
func (m *model) step() {
	back := min(m.draw(0, 3)*m.draw(1, 4), len(m.tickets)-1)
	ticket := m.tickets[len(m.tickets)-1-back]
	switch event := m.draw(0, 19); {
	case event < 4:
		m.finish(ticket)
	case event < 8:
		m.begin(m.issue())
	case event < 13:
		m.begin(ticket)
	case event < 15:
		m.issue()
	case event < 17:
		m.forge()
	case event < 19:
		m.now = m.now.Add(time.Duration(m.draw(1, 1800)) * time.Millisecond)
	case m.draw(0, 3) == 3:
		m.restart()
	}
}

// TestAtMostOnce draws random sequences of calls with duplicate and forged
// tickets, passing time and restarts. Over all incarnations a ticket must run at
// most once, and must never run after it was answered notrun.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	decisions := make(map[Decision]int)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, now: start, states: make(map[magnoliashore.Ticket]*ticketState), decisions: decisions}
		m.cfg = Config{Host: "e1", EpochLength: 800 * time.Millisecond, MaxTickets: m.draw(1, 8), MaxAnswerBytes: m.draw(0, 2000)}
		m.restart()
		m.issue()
		for range m.draw(20, 120) {
			m.step()
			m.check()
		}
	})
	for decision := Run; decision <= Elsewhere; decision++ {
		if got, want := decisions[decision], 500; got < want {
			t.Errorf("%v: got %d decisions, want at least %d", decision, got, want)
		}
	}
}

// TestMain sets the seed and the number of checks of the property tests. The
// flags of rapid on the command line override them.
func TestMain(m *testing.M) {
	err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "5000"))
	if err != nil {
		os.Exit(1)
	}
	os.Exit(m.Run())
}
