package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
)

// Times of the test of at-most-once.
const (
	ticketPeriod   = 12 * time.Millisecond
	ticketDeadline = 300 * time.Millisecond
	ticketLength   = 7 * time.Second
	ticketEpoch    = "limits:\n  epoch: 1s\n"
)

// duplicator asks requests with tickets, each several times.
type duplicator struct {
	c       *cell
	raw     *raw
	library *client.Client
	past    *history

	number atomic.Uint64
	mu     sync.Mutex
	used   []request // sent before, to be sent again much later
}

// request is one logical request that runs at most once.
type request struct {
	id     magnoliashore.QueryID
	ticket magnoliashore.Ticket
	home   *seat // that the ticket names
}

func (d *duplicator) newRequest(home *seat) (request, bool) {
	entry, err := d.raw.entry(home)
	if err != nil {
		return request{}, false
	}
	id := magnoliashore.QueryID(fmt.Sprintf("ticket-%d", d.number.Add(1)))
	ticket := magnoliashore.NewTicket(entry.Host(), entry.Incarnation(), entry.Epoch(), "t-"+string(id))
	return request{id: id, ticket: ticket, home: home}, true
}

// send sends one copy to a seat and records what it is told.
func (d *duplicator) send(how string, r request, to *seat) {
	call := time.Now()
	answer, err := d.raw.post(to.caller, magnoliashore.QuerySpec{
		ID: r.id, Group: "enquiry", Body: []byte("{}"), Once: true, Ticket: r.ticket,
	}, ticketDeadline)
	d.past.record(how, r.id, call, answer, err)
}

// ask makes one request and sends it in one of the ways that callers do.
func (d *duplicator) ask(random *rand.Rand) {
	home := d.seat(random)
	other := d.seat(random)
	kind := random.IntN(5)
	if kind == 4 {
		d.askLibrary()
		return
	}
	r, ok := d.newRequest(home)
	if !ok {
		return
	}
	switch kind {
	case 0:
		d.both(func() { d.send("same host", r, home) }, func() { d.send("same host", r, home) })
	case 1:
		d.both(func() { d.send("crossed", r, home) }, func() { d.send("crossed", r, other) })
	case 2:
		d.send("forwarded", r, other)
		d.send("after the first", r, home)
	case 3:
		d.send("first", r, home)
		d.both(func() { d.send("after the first", r, home) }, func() { d.send("after the first", r, other) })
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used = append(d.used, r)
}

func (d *duplicator) askLibrary() {
	id := magnoliashore.QueryID(fmt.Sprintf("library-%d", d.number.Add(1)))
	call := time.Now()
	answer, err := d.library.Query(d.c.t.Context(), client.Request{
		ID: id, Group: "enquiry", Body: []byte("{}"), Deadline: ticketDeadline, AtMostOnce: true,
	})
	if err != nil && answer.Outcome() == magnoliashore.OutcomeRan {
		d.c.t.Errorf("query %s: got ran with the error %v, want no error", id, err)
	}
	d.past.record("library", id, call, answer, err)
}

func (d *duplicator) seat(random *rand.Rand) *seat { return d.c.seats[random.IntN(len(d.c.seats))] }

func (d *duplicator) both(one, two func()) {
	var open sync.WaitGroup
	open.Go(one)
	open.Go(two)
	open.Wait()
}

// run asks at a steady rate until the end and sends old tickets again.
func (d *duplicator) run(random *rand.Rand, end time.Time) {
	tick := time.NewTicker(ticketPeriod)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for time.Now().Before(end) {
		<-tick.C
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		open.Go(func() { d.ask(own) })
		if r, ok := d.old(random); ok {
			to := d.seat(random)
			open.Go(func() { d.send("late", r, to) })
		}
	}
}

// old returns a request that was sent before, now and then.
func (d *duplicator) old(random *rand.Rand) (request, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.used) == 0 || random.IntN(3) > 0 {
		return request{}, false
	}
	return d.used[random.IntN(len(d.used))], true
}

// sendAllAgain sends every used ticket once more, to its own host.
func (d *duplicator) sendAllAgain() {
	turns := make(chan struct{}, 8)
	var open sync.WaitGroup
	for _, r := range d.used {
		turns <- struct{}{}
		open.Go(func() {
			d.send("again at the end", r, r.home)
			<-turns
		})
	}
	open.Wait()
}

// TestAtMostOnceUnderFaults sends requests that run at most once several times
// each, while entry hosts are killed, frozen and cut off and targets restart.
func TestAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := (&cell{shape: small(), hosts: 4, relayed: true, settings: ticketEpoch}).start(t)
	c.warm("enquiry")
	d := &duplicator{c: c, raw: newRaw(t), library: c.client(), past: &history{}}
	end := time.Now().Add(ticketLength)
	faults := rand.New(rand.NewPCG(random.Uint64(), 1))
	done := make(chan struct{})
	go func() {
		defer close(done)
		disturb(c, faults, end)
	}()
	d.run(random, end)
	<-done
	c.awaitReady(c.seats...)
	d.sendAllAgain()
	time.Sleep(ticketDeadline) // what was given up may still run

	d.past.check(t, c.begun())
	d.checkCases(t)
}

// checkCases fails the test if a case that it is about did not occur.
func (d *duplicator) checkCases(t *testing.T) {
	t.Helper()
	outcomes := make(map[magnoliashore.Outcome]int)
	for _, outcome := range []magnoliashore.Outcome{
		magnoliashore.OutcomeRan, magnoliashore.OutcomeNotRun, magnoliashore.OutcomeUnknown,
	} {
		outcomes[outcome] = d.past.count(func(one asked) bool { return one.outcome == outcome && !one.failed })
	}
	t.Logf("sends: %d, of them %d without an answer, %v", len(d.past.all()),
		d.past.count(func(one asked) bool { return one.failed }), outcomes)
	const least = 10
	for outcome, got := range outcomes {
		if got < least {
			t.Errorf("answers %v: got %d, want at least %d", outcome, got, least)
		}
	}
}
