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

// Times of the at-most-once test.
const (
	ticketPeriod   = 12 * time.Millisecond
	ticketDeadline = 300 * time.Millisecond
	ticketLength   = 7 * time.Second
	ticketEpoch    = "limits:\n  epoch: 1s\n"
)

// duplicator sends at-most-once requests, each several times with the same ticket.
type duplicator struct {
	c       *cell
	raw     *rawClient
	library *client.Client
	history *history

	lastRequest atomic.Uint64
	mu          sync.Mutex
	sent        []request // requests to send again later
}

// request is one at-most-once request, however often it is sent.
type request struct {
	id         magnoliashore.QueryID
	ticket     magnoliashore.Ticket
	ticketHost *seat // host named by the ticket
}

func (d *duplicator) newRequest(ticketHost *seat) (request, bool) {
	entry, err := d.raw.entry(ticketHost)
	if err != nil {
		return request{}, false
	}
	id := magnoliashore.QueryID(fmt.Sprintf("ticket-%d", d.lastRequest.Add(1)))
	ticket := magnoliashore.NewTicket(entry.Host(), entry.Incarnation(), entry.Epoch(), "t-"+string(id))
	return request{id: id, ticket: ticket, ticketHost: ticketHost}, true
}

// send sends one copy of a request to a seat and records the answer.
func (d *duplicator) send(scenario string, r request, to *seat) {
	start := time.Now()
	answer, err := d.raw.post(to.callerAddr, magnoliashore.QuerySpec{
		ID: r.id, Group: "enquiry", Body: []byte("{}"), Once: true, Ticket: r.ticket,
	}, ticketDeadline)
	d.history.record(scenario, r.id, start, answer, err)
}

// sendOne creates a request and sends it in one of several ways, chosen at random.
func (d *duplicator) sendOne(random *rand.Rand) {
	ticketHost := d.seat(random)
	other := d.seat(random)
	kind := random.IntN(5)
	if kind == 4 {
		d.queryLibrary()
		return
	}
	r, ok := d.newRequest(ticketHost)
	if !ok {
		return
	}
	switch kind {
	case 0:
		d.concurrently(func() { d.send("same host", r, ticketHost) }, func() { d.send("same host", r, ticketHost) })
	case 1:
		d.concurrently(func() { d.send("crossed", r, ticketHost) }, func() { d.send("crossed", r, other) })
	case 2:
		d.send("forwarded", r, other)
		d.send("after the first", r, ticketHost)
	case 3:
		d.send("first", r, ticketHost)
		d.concurrently(func() { d.send("after the first", r, ticketHost) }, func() { d.send("after the first", r, other) })
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent = append(d.sent, r)
}

func (d *duplicator) queryLibrary() {
	id := magnoliashore.QueryID(fmt.Sprintf("library-%d", d.lastRequest.Add(1)))
	start := time.Now()
	answer, err := d.library.Query(d.c.t.Context(), client.Request{
		ID: id, Group: "enquiry", Body: []byte("{}"), Deadline: ticketDeadline, AtMostOnce: true,
	})
	if err != nil && answer.Outcome() == magnoliashore.OutcomeRan {
		d.c.t.Errorf("query %s: got ran with the error %v, want no error", id, err)
	}
	d.history.record("library", id, start, answer, err)
}

func (d *duplicator) seat(random *rand.Rand) *seat { return d.c.seats[random.IntN(len(d.c.seats))] }

func (d *duplicator) concurrently(first, second func()) {
	var wg sync.WaitGroup
	wg.Go(first)
	wg.Go(second)
	wg.Wait()
}

// run sends new requests at a steady rate until the end, and now and then an
// earlier one again.
func (d *duplicator) run(random *rand.Rand, end time.Time) {
	tick := time.NewTicker(ticketPeriod)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(end) {
		<-tick.C
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		wg.Go(func() { d.sendOne(own) })
		if r, ok := d.earlierRequest(random); ok {
			to := d.seat(random)
			wg.Go(func() { d.send("late", r, to) })
		}
	}
}

// earlierRequest returns a random earlier request in one of three calls, and false
// otherwise.
func (d *duplicator) earlierRequest(random *rand.Rand) (request, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.sent) == 0 || random.IntN(3) > 0 {
		return request{}, false
	}
	return d.sent[random.IntN(len(d.sent))], true
}

// resendAll sends every earlier request once more, to the host that its ticket
// names.
func (d *duplicator) resendAll() {
	slots := make(chan struct{}, 8)
	var wg sync.WaitGroup
	for _, r := range d.sent {
		slots <- struct{}{}
		wg.Go(func() {
			d.send("again at the end", r, r.ticketHost)
			<-slots
		})
	}
	wg.Wait()
}

// TestAtMostOnceUnderFaults guards against an at-most-once request that runs twice,
// or whose answer contradicts what the targets ran. Every request is sent several
// times while hosts are killed, frozen and cut off and targets restart.
func TestAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := (&cell{shape: small(), hostCount: 4, relayed: true, settings: ticketEpoch}).start(t)
	c.warm("enquiry")
	d := &duplicator{c: c, raw: newRawClient(t), library: c.newClient(), history: &history{}}
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
	d.resendAll()
	time.Sleep(ticketDeadline) // abandoned requests may still run

	d.history.check(t, c.begunRuns())
	d.checkCases(t)
}

// checkCases fails the test if one of the outcomes hardly occurred.
func (d *duplicator) checkCases(t *testing.T) {
	t.Helper()
	outcomes := make(map[magnoliashore.Outcome]int)
	for _, outcome := range []magnoliashore.Outcome{
		magnoliashore.OutcomeRan, magnoliashore.OutcomeNotRun, magnoliashore.OutcomeUnknown,
	} {
		outcomes[outcome] = d.history.count(func(a attempt) bool { return a.outcome == outcome && !a.failed })
	}
	t.Logf("attempts: %d, of them %d without an answer, outcomes %v", len(d.history.all()),
		d.history.count(func(a attempt) bool { return a.failed }), outcomes)
	const minPerOutcome = 10
	for outcome, got := range outcomes {
		if got < minPerOutcome {
			t.Errorf("answers with outcome %v: got %d, want at least %d", outcome, got, minPerOutcome)
		}
	}
}
