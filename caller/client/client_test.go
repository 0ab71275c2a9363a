package client

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/timer"
)

// long is a deadline that no test should reach.
const long = 20 * time.Second

var (
	specRan     = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeRan}
	specBusy    = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonBusy, After: time.Second}
	specStart   = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonStarting}
	specUnknown = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeUnknown, Reason: magnoliashore.ReasonTicket}
)

func TestQueryCarriesRequest(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	publish([]*host{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{refusing, h.addr}, Zone: "a"}
	clock := timer.Service{}
	answer, err := c.Query(t.Context(), Request{
		Group: "g", Services: []magnoliashore.ServiceName{"s"}, Body: []byte("x"),
		Deadline: long, AtMostOnce: true, Merge: magnoliashore.MergeBest(3),
	})
	if err != nil || answer.Outcome() != magnoliashore.OutcomeRan {
		t.Fatalf("got %+v, %v", answer, err)
	}
	got := h.got()[0]
	left := got.Deadline().Sub(clock.Now())
	if left <= 0 || left > long {
		t.Errorf("got a deadline in %v, want one within %v", left, long)
	}
	ticket := got.Ticket()
	if ticket.Host() != "e1" || ticket.Incarnation() != 17 || ticket.Epoch() != 2 || len(ticket.ID()) != 2*randomBytes {
		t.Errorf("got ticket %+v", ticket)
	}
	if got.ID() == "" || answer.Query() != got.ID() || string(got.Body()) != "x" || got.Merge().Best() != 3 {
		t.Errorf("got query %+v and answer %+v", got, answer)
	}
}

func TestQueryWithoutDeadlineStatesNone(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	publish([]*host{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{h.addr}}
	if _, err := c.Query(t.Context(), Request{Group: "g"}); err != nil {
		t.Fatal(err)
	}
	if got := h.got()[0].Deadline(); !got.IsZero() {
		t.Errorf("got deadline %v, want none", got)
	}
}

func TestEntriesAreKeptUntilLeaving(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	publish([]*host{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{h.addr}}
	ask := func(want int) {
		t.Helper()
		if _, err := c.Query(t.Context(), Request{Group: "g", Deadline: long}); err != nil {
			t.Fatal(err)
		}
		if got := h.timesAsked(); got != want {
			t.Errorf("got %d asks for addresses, want %d", got, want)
		}
	}
	ask(1)
	ask(1)
	h.set(func(h *host) { h.leaving = true })
	ask(1)
	h.set(func(h *host) { h.leaving = false })
	ask(2)
	ask(2)
}

func TestEntriesAskedTogetherOnce(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	publish([]*host{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{h.addr}}
	faults := make(chan error)
	const callers = 50
	for range callers {
		go func() {
			_, err := c.Entries(t.Context())
			faults <- err
		}()
	}
	for range callers {
		if err := <-faults; err != nil {
			t.Error(err)
		}
	}
	if got, want := h.timesAsked(), 1; got != want {
		t.Errorf("got %d asks, want %d", got, want)
	}
}

// steppedClock tells the time that the test sets.
type steppedClock struct{ nanoseconds atomic.Int64 }

func (c *steppedClock) Now() time.Time { return time.Unix(0, c.nanoseconds.Load()) }

func TestEntriesAreRenewedBeforeTheyExpire(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	publish([]*host{h}, entry("e1", "a", h.addr))
	clock := &steppedClock{}
	c := &Client{Seeds: []string{h.addr}, Clock: clock}
	for step, want := range []int{1, 1, 2} {
		clock.nanoseconds.Store(int64(step) * int64(time.Minute) * 3 / 8)
		if _, err := c.Entries(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.asking <- struct{}{} // waits for the renewal
		<-c.asking
		if got := h.timesAsked(); got != want {
			t.Errorf("step %d: got %d asks, want %d", step, got, want)
		}
	}
}

func TestEntriesExpire(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	h.set(func(h *host) {
		h.entries = magnoliashore.NewEntries([]magnoliashore.Entry{entry("e1", "a", h.addr)}, 0)
	})
	c := &Client{Seeds: []string{h.addr}}
	for range 2 {
		if _, err := c.Entries(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := h.timesAsked(), 2; got != want {
		t.Errorf("got %d asks, want %d", got, want)
	}
}

func TestSpread(t *testing.T) {
	t.Parallel()
	list := []magnoliashore.Entry{
		entry("e1", "b", "1"), entry("e2", "a", "2"), entry("e3", "a", "3"), entry("e4", "b", "4"),
	}
	for zone, want := range map[magnoliashore.ZoneName]int{"a": 2, "b": 2, "": 4, "c": 4} { // hosts that come first
		first := make(map[magnoliashore.HostID]int)
		for range 200 {
			got := spread(list, zone)
			if len(got) != 4 || want == 2 && (got[0].Zone() != zone || got[1].Zone() != zone) {
				t.Fatalf("zone %q: got %+v", zone, got)
			}
			first[got[0].Host()]++
		}
		if len(first) != want {
			t.Errorf("zone %q: got first hosts %v, want %d", zone, first, want)
		}
	}
}

func TestSilentEntryComesLast(t *testing.T) {
	t.Parallel()
	c := &Client{}
	c.once.Do(c.prepare)
	list := []magnoliashore.Entry{entry("e1", "a", "1"), entry("e2", "a", "2"), entry("e3", "b", "3")}
	c.suspect(t.Context(), "1")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	c.suspect(cancelled, "2")
	got := ""
	for _, e := range c.trustedFirst(list) {
		got += e.Address()
	}
	if want := "231"; got != want {
		t.Errorf("order: got %s, want %s", got, want)
	}
}

func TestIdempotent(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name          string
		first, second magnoliashore.AnswerSpec
		retry         int
		want          magnoliashore.Outcome
		asked         int // of the second host
	}{
		{"ran", specRan, specBusy, 0, magnoliashore.OutcomeRan, 0},
		{"busy is final", specBusy, specRan, 0, magnoliashore.OutcomeNotRun, 0},
		{"starting goes elsewhere", specStart, specRan, 0, magnoliashore.OutcomeRan, 1},
		{"unknown goes elsewhere", specUnknown, specRan, 0, magnoliashore.OutcomeRan, 1},
		{"no retry", specStart, specRan, -1, magnoliashore.OutcomeNotRun, 0},
		{"unknown, then refused", specUnknown, specBusy, 0, magnoliashore.OutcomeUnknown, 1},
		{"both starting", specStart, specStart, 0, magnoliashore.OutcomeNotRun, 1},
	}
	for _, c := range cases {
		first, second := newHost(t, "e1", c.first), newHost(t, "e2", c.second)
		publish([]*host{first, second}, entry("e1", "a", first.addr), entry("e2", "b", second.addr))
		asker := &Client{Seeds: []string{first.addr}, Zone: "a", MaxRetries: c.retry}
		got, err := asker.Query(t.Context(), Request{Group: "g", Deadline: long})
		if err != nil || got.Outcome() != c.want {
			t.Errorf("%s: got %+v, %v", c.name, got, err)
		}
		if asked := len(second.got()); asked != c.asked || len(first.got()) != 1 {
			t.Errorf("%s: got %d and %d queries, want 1 and %d", c.name, len(first.got()), asked, c.asked)
		}
	}
}

func TestIdempotentAfterBrokenConnection(t *testing.T) {
	t.Parallel()
	second := newHost(t, "e2", specRan)
	broken, address := newBreaker(t, second, 1)
	publish([]*host{second}, entry("e1", "a", address), entry("e2", "b", second.addr))
	c := &Client{Seeds: []string{second.addr}, Zone: "a"}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: long})
	if err != nil || got.Outcome() != magnoliashore.OutcomeRan || got.Host() != "e2" || len(broken.got()) != 1 {
		t.Errorf("got %+v, %v after %d breaks", got, err, len(broken.got()))
	}
}

func TestNothingSent(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	publish([]*host{h}, entry("e1", "a", refusing), entry("e2", "a", refusing))
	for _, once := range []bool{false, true} {
		c := &Client{Seeds: []string{h.addr}}
		got, err := c.Query(t.Context(), Request{Group: "g", Deadline: long, AtMostOnce: once})
		if err == nil || got.Outcome() != magnoliashore.OutcomeNotRun || got.Reason() != magnoliashore.ReasonUnreachable {
			t.Errorf("once %v: got %+v, %v, want notrun and an error", once, got, err)
		}
	}
	c := &Client{Seeds: []string{refusing}}
	got, err := c.Query(t.Context(), Request{ID: "q1", Group: "g", AtMostOnce: true})
	if err == nil || got.Outcome() != magnoliashore.OutcomeNotRun || got.Query() != "q1" {
		t.Errorf("without entries: got %+v, %v", got, err)
	}
}

func TestSilentHostLeavesTimeForAnother(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e2", specRan)
	publish([]*host{h}, entry("e1", "a", "silent:1"), entry("e2", "b", h.addr))
	c := &Client{Seeds: []string{h.addr}, Zone: "a"}
	transport := newTransport()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == "silent:1" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, address)
	}
	c.once.Do(c.prepare)
	c.http.Transport = transport
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: 2 * time.Second})
	if err != nil || got.Host() != "e2" || got.Outcome() != magnoliashore.OutcomeRan {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestCancelReachesHost(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	publish([]*host{h}, entry("e1", "a", h.addr))
	asked, ended := make(chan struct{}), make(chan struct{})
	h.answer = func(ctx context.Context, _ magnoliashore.Query) magnoliashore.Answer {
		close(asked)
		<-ctx.Done()
		close(ended)
		return magnoliashore.Answer{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	c := &Client{Seeds: []string{h.addr}}
	got, err := c.Query(ctx, Request{Group: "g", Deadline: long})
	if err == nil || got.Outcome() != magnoliashore.OutcomeUnknown {
		t.Errorf("got %+v, %v, want unknown and an error", got, err)
	}
	<-ended
}
