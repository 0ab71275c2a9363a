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

// longDeadline is a deadline that no test should reach.
const longDeadline = 20 * time.Second

var (
	specRan      = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeRan}
	specBusy     = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonBusy, RetryAfter: time.Second}
	specStarting = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonStarting}
	specUnknown  = magnoliashore.AnswerSpec{Outcome: magnoliashore.OutcomeUnknown, Reason: magnoliashore.ReasonTicket}
)

func TestQuerySendsRequest(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{refusingAddress, h.addr}, Zone: "a"}
	clock := timer.Service{}
	answer, err := c.Query(t.Context(), Request{
		Group: "g", Services: []magnoliashore.ServiceName{"s"}, Body: []byte("x"),
		Deadline: longDeadline, AtMostOnce: true, Merge: magnoliashore.MergeBest(3),
	})
	if err != nil || answer.Outcome() != magnoliashore.OutcomeRan {
		t.Fatalf("got %+v, %v", answer, err)
	}
	got := h.receivedQueries()[0]
	timeLeft := got.Deadline().Sub(clock.Now())
	if timeLeft <= 0 || timeLeft > longDeadline {
		t.Errorf("got a deadline in %v, want one within %v", timeLeft, longDeadline)
	}
	ticket := got.Ticket()
	if ticket.Host() != "e1" || ticket.Incarnation() != 17 || ticket.Epoch() != 2 || len(ticket.ID()) != 2*randomIDBytes {
		t.Errorf("got ticket %+v", ticket)
	}
	if got.ID() == "" || answer.Query() != got.ID() || string(got.Body()) != "x" || got.Merge().Best() != 3 {
		t.Errorf("got query %+v and answer %+v", got, answer)
	}
}

func TestQueryWithoutDeadlineSendsNone(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{h.addr}}
	if _, err := c.Query(t.Context(), Request{Group: "g"}); err != nil {
		t.Fatal(err)
	}
	if got := h.receivedQueries()[0].Deadline(); !got.IsZero() {
		t.Errorf("got deadline %v, want none", got)
	}
}

func TestEntriesAreCachedUntilLeaving(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{h.addr}}
	query := func(wantFetches int) {
		t.Helper()
		if _, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline}); err != nil {
			t.Fatal(err)
		}
		if got := h.entriesCallCount(); got != wantFetches {
			t.Errorf("got %d fetches of addresses, want %d", got, wantFetches)
		}
	}
	query(1)
	query(1)
	h.update(func(h *fakeHost) { h.leaving = true })
	query(1)
	h.update(func(h *fakeHost) { h.leaving = false })
	query(2)
	query(2)
}

func TestConcurrentEntriesShareOneFetch(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", h.addr))
	c := &Client{Seeds: []string{h.addr}}
	errs := make(chan error)
	const callers = 50
	for range callers {
		go func() {
			_, err := c.Entries(t.Context())
			errs <- err
		}()
	}
	for range callers {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if got, want := h.entriesCallCount(), 1; got != want {
		t.Errorf("got %d fetches, want %d", got, want)
	}
}

// manualClock returns the time that the test sets.
type manualClock struct{ nanoseconds atomic.Int64 }

func (c *manualClock) Now() time.Time { return time.Unix(0, c.nanoseconds.Load()) }

func TestEntriesAreRefreshedBeforeExpiry(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", h.addr))
	clock := &manualClock{}
	c := &Client{Seeds: []string{h.addr}, Clock: clock}
	for step, want := range []int{1, 1, 2} {
		clock.nanoseconds.Store(int64(step) * int64(time.Minute) * 3 / 8)
		if _, err := c.Entries(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.fetching <- struct{}{} // wait for the background fetch
		<-c.fetching
		if got := h.entriesCallCount(); got != want {
			t.Errorf("step %d: got %d fetches, want %d", step, got, want)
		}
	}
}

func TestEntriesExpire(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	h.update(func(h *fakeHost) {
		h.entries = magnoliashore.NewEntries([]magnoliashore.Entry{entry("e1", "a", h.addr)}, 0)
	})
	c := &Client{Seeds: []string{h.addr}}
	for range 2 {
		if _, err := c.Entries(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := h.entriesCallCount(), 2; got != want {
		t.Errorf("got %d fetches, want %d", got, want)
	}
}

func TestOrderByZone(t *testing.T) {
	t.Parallel()
	list := []magnoliashore.Entry{
		entry("e1", "b", "1"), entry("e2", "a", "2"), entry("e3", "a", "3"), entry("e4", "b", "4"),
	}
	for zone, want := range map[magnoliashore.ZoneName]int{"a": 2, "b": 2, "": 4, "c": 4} { // number of different hosts in first place
		first := make(map[magnoliashore.HostID]int)
		for range 200 {
			got := orderByZone(list, zone)
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

func TestSuspectedEntryComesLast(t *testing.T) {
	t.Parallel()
	c := &Client{}
	c.prepareOnce.Do(c.prepare)
	list := []magnoliashore.Entry{entry("e1", "a", "1"), entry("e2", "a", "2"), entry("e3", "b", "3")}
	c.suspect(t.Context(), "1")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	c.suspect(cancelled, "2")
	got := ""
	for _, e := range c.suspectsLast(list) {
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
		maxRetries    int
		want          magnoliashore.Outcome
		wantSecond    int // queries to the second host
	}{
		{"ran", specRan, specBusy, 0, magnoliashore.OutcomeRan, 0},
		{"busy is final", specBusy, specRan, 0, magnoliashore.OutcomeNotRun, 0},
		{"starting is retried elsewhere", specStarting, specRan, 0, magnoliashore.OutcomeRan, 1},
		{"unknown is retried elsewhere", specUnknown, specRan, 0, magnoliashore.OutcomeRan, 1},
		{"no retry", specStarting, specRan, -1, magnoliashore.OutcomeNotRun, 0},
		{"unknown, then refused", specUnknown, specBusy, 0, magnoliashore.OutcomeUnknown, 1},
		{"both starting", specStarting, specStarting, 0, magnoliashore.OutcomeNotRun, 1},
	}
	for _, c := range cases {
		first, second := newHost(t, "e1", c.first), newHost(t, "e2", c.second)
		setEntries([]*fakeHost{first, second}, entry("e1", "a", first.addr), entry("e2", "b", second.addr))
		client := &Client{Seeds: []string{first.addr}, Zone: "a", MaxRetries: c.maxRetries}
		got, err := client.Query(t.Context(), Request{Group: "g", Deadline: longDeadline})
		if err != nil || got.Outcome() != c.want {
			t.Errorf("%s: got %+v, %v", c.name, got, err)
		}
		if queries := len(second.receivedQueries()); queries != c.wantSecond || len(first.receivedQueries()) != 1 {
			t.Errorf("%s: got %d and %d queries, want 1 and %d", c.name, len(first.receivedQueries()), queries, c.wantSecond)
		}
	}
}

func TestIdempotentAfterBrokenConnection(t *testing.T) {
	t.Parallel()
	second := newHost(t, "e2", specRan)
	broken, address := newBrokenServer(t, second, 1)
	setEntries([]*fakeHost{second}, entry("e1", "a", address), entry("e2", "b", second.addr))
	c := &Client{Seeds: []string{second.addr}, Zone: "a"}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline})
	if err != nil || got.Outcome() != magnoliashore.OutcomeRan || got.Host() != "e2" || len(broken.receivedQueries()) != 1 {
		t.Errorf("got %+v, %v after %d broken connections", got, err, len(broken.receivedQueries()))
	}
}

func TestQueryNotSent(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", refusingAddress), entry("e2", "a", refusingAddress))
	for _, atMostOnce := range []bool{false, true} {
		c := &Client{Seeds: []string{h.addr}}
		got, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline, AtMostOnce: atMostOnce})
		if err == nil || got.Outcome() != magnoliashore.OutcomeNotRun || got.Reason() != magnoliashore.ReasonUnreachable {
			t.Errorf("at most once %v: got %+v, %v, want notrun and an error", atMostOnce, got, err)
		}
	}
	c := &Client{Seeds: []string{refusingAddress}}
	got, err := c.Query(t.Context(), Request{ID: "q1", Group: "g", AtMostOnce: true})
	if err == nil || got.Outcome() != magnoliashore.OutcomeNotRun || got.Query() != "q1" {
		t.Errorf("without entries: got %+v, %v", got, err)
	}
}

func TestUnreachableHostLeavesTimeForAnother(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e2", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", "silent:1"), entry("e2", "b", h.addr))
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
	c.prepareOnce.Do(c.prepare)
	c.http.Transport = transport
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: 2 * time.Second})
	if err != nil || got.Host() != "e2" || got.Outcome() != magnoliashore.OutcomeRan {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestCancellationReachesHost(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	setEntries([]*fakeHost{h}, entry("e1", "a", h.addr))
	received, cancelled := make(chan struct{}), make(chan struct{})
	h.answer = func(ctx context.Context, _ magnoliashore.Query) magnoliashore.Answer {
		close(received)
		<-ctx.Done()
		close(cancelled)
		return magnoliashore.Answer{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	c := &Client{Seeds: []string{h.addr}}
	got, err := c.Query(ctx, Request{Group: "g", Deadline: longDeadline})
	if err == nil || got.Outcome() != magnoliashore.OutcomeUnknown {
		t.Errorf("got %+v, %v, want unknown and an error", got, err)
	}
	<-cancelled
}
