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

// fate is what became of one ticket.
type fate struct {
	issued  time.Time // when it was made with the epoch of that moment; zero if forged
	runs    int
	notrun  bool // answered so
	running bool // in the present incarnation
	answer  magnoliashore.Answer
}

// world drives the ledgers of one seat through restarts.
type world struct {
	*rapid.T
	cfg     Config
	ledger  *Ledger
	now     time.Time
	epoch   magnoliashore.Epoch
	tickets []magnoliashore.Ticket
	fates   map[magnoliashore.Ticket]*fate
	seen    map[Decision]int
}

func (w *world) draw(least, most int) int { return rapid.IntRange(least, most).Draw(w.T, "n") }

// restart replaces the process.
func (w *world) restart() {
	w.cfg.Incarnation++
	w.ledger = New(w.cfg, w.now)
	w.epoch = 0
	for _, f := range w.fates {
		f.running = false
	}
}

// issue makes a ticket as a caller does.
func (w *world) issue() magnoliashore.Ticket {
	ticket := magnoliashore.NewTicket("e1", w.cfg.Incarnation, w.ledger.Epoch(w.now), fmt.Sprint(len(w.tickets)))
	w.tickets = append(w.tickets, ticket)
	w.fates[ticket] = &fate{issued: w.now}
	return ticket
}

// forge makes a ticket that no caller should send.
func (w *world) forge() {
	hosts := []magnoliashore.HostID{"e1", "e2", "e1", "e1"}
	ids := []string{"0", "1", "", fmt.Sprintf("%065d", 0)}
	incarnation := w.cfg.Incarnation + magnoliashore.Incarnation(w.draw(0, 1))
	epoch := w.ledger.Epoch(w.now) + magnoliashore.Epoch(w.draw(0, 2))
	ticket := magnoliashore.NewTicket(hosts[w.draw(0, 3)], incarnation, epoch, ids[w.draw(0, 3)])
	if w.fates[ticket] == nil {
		w.tickets = append(w.tickets, ticket)
		w.fates[ticket] = &fate{}
	}
}

// begin sends a ticket and checks the verdict.
func (w *world) begin(ticket magnoliashore.Ticket) {
	verdict, got := w.ledger.Begin(w.now, ticket)
	w.seen[verdict]++
	f := w.fates[ticket]
	ok := f.running == (verdict == Joined)
	want := magnoliashore.OutcomeUnknown
	switch verdict {
	case Run:
		ok = ok && f.runs == 0 && !f.notrun
		f.runs++
		f.running = true
	case Refused:
		ok = ok && f.runs == 0
		f.notrun = true
		want = magnoliashore.OutcomeNotRun
	case Final:
		same := reflect.DeepEqual(got, f.answer) || f.notrun && reflect.DeepEqual(got, brief(f.answer))
		ok = ok && f.runs == 1 && same
		want = f.answer.Outcome()
	case Unknown:
		ok = ok && w.mayBeUnknown(ticket, f)
	case Elsewhere:
		ok = ok && ticket.Host() != "e1"
	}
	if !ok || got.Outcome() != want {
		w.Fatalf("%+v: got %v with %+v; %+v", ticket, verdict, got, f)
	}
}

// mayBeUnknown reports whether the ticket is not fresh, or its answer, not a
// notrun, was given up for want of space.
func (w *world) mayBeUnknown(ticket magnoliashore.Ticket, f *fate) bool {
	if ticket.Incarnation() != w.cfg.Incarnation || w.now.Sub(f.issued) >= w.cfg.EpochLength/earlyShare {
		return true
	}
	return w.ledger.book(ticket.Epoch()).records[ticket.ID()].lost && !f.notrun
}

// finish gives a ticket an answer; it counts only if the ticket is running.
func (w *world) finish(ticket magnoliashore.Ticket) {
	final := answer(magnoliashore.Outcome(w.draw(0, 2)), w.draw(0, 500))
	w.ledger.Finish(w.now, ticket, final)
	f := w.fates[ticket]
	if f.running {
		f.running = false
		f.answer = final
		f.notrun = final.Outcome() == magnoliashore.OutcomeNotRun
	}
}

// check checks what holds at every moment.
func (w *world) check() {
	running := 0
	for _, f := range w.fates {
		if f.running {
			running++
		}
	}
	epoch, length := w.ledger.Epoch(w.now), w.ledger.Len()
	held := w.ledger.past.bytes + w.ledger.present.bytes
	if epoch < w.epoch || held > w.cfg.MaxAnswerBytes || length > w.cfg.MaxTickets || length < running {
		w.Fatalf("got epoch %d after %d, %d bytes, length %d with %d running; %+v", epoch, w.epoch, held, length, running, w.cfg)
	}
	w.epoch = epoch
}

// step makes one thing happen. Recent tickets are drawn more often.
func (w *world) step() {
	back := min(w.draw(0, 3)*w.draw(1, 4), len(w.tickets)-1)
	ticket := w.tickets[len(w.tickets)-1-back]
	switch event := w.draw(0, 19); {
	case event < 4:
		w.finish(ticket)
	case event < 8:
		w.begin(w.issue())
	case event < 13:
		w.begin(ticket)
	case event < 15:
		w.issue()
	case event < 17:
		w.forge()
	case event < 19:
		w.now = w.now.Add(time.Duration(w.draw(1, 1800)) * time.Millisecond)
	case w.draw(0, 3) == 3:
		w.restart()
	}
}

// TestAtMostOnce draws calls with crossed duplicates, forged tickets, time and
// restarts. Over all incarnations a ticket runs at most once, and one that was
// answered notrun never runs afterwards.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	seen := make(map[Decision]int)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{T: t, now: start, fates: make(map[magnoliashore.Ticket]*fate), seen: seen}
		w.cfg = Config{Host: "e1", EpochLength: 800 * time.Millisecond, MaxTickets: w.draw(1, 8), MaxAnswerBytes: w.draw(0, 2000)}
		w.restart()
		w.issue()
		for range w.draw(20, 120) {
			w.step()
			w.check()
		}
	})
	for verdict := Run; verdict <= Elsewhere; verdict++ {
		if got, want := seen[verdict], 500; got < want {
			t.Errorf("%v: got %d verdicts, want at least %d", verdict, got, want)
		}
	}
}

// TestMain fixes the seed and number of the property tests; the flags of rapid
// on the command line override them.
func TestMain(m *testing.M) {
	err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "5000"))
	if err != nil {
		os.Exit(1)
	}
	os.Exit(m.Run())
}
