package client

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// checkSameTicket checks that all queries carry the same ticket.
func checkSameTicket(t *testing.T, queries []magnoliashore.Query) {
	t.Helper()
	for _, q := range queries {
		if q.Ticket().IsZero() || q.Ticket() != queries[0].Ticket() || !q.Once() || q.ID() != queries[0].ID() {
			t.Errorf("got ticket %+v, want %+v", q.Ticket(), queries[0].Ticket())
		}
	}
}

func TestAtMostOnceRetriesWithSameTicket(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	broken, address := newBrokenServer(t, h, 3)
	setEntries([]*fakeHost{h}, entry("e1", "a", address))
	c := &Client{Seeds: []string{h.addr}}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline, AtMostOnce: true})
	if err != nil || got.Outcome() != magnoliashore.OutcomeRan {
		t.Errorf("got %+v, %v", got, err)
	}
	if got, want := len(broken.receivedQueries()), 4; got != want {
		t.Errorf("got %d attempts, want %d", got, want)
	}
	checkSameTicket(t, broken.receivedQueries())
}

func TestAtMostOnceUnknownAtDeadline(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	broken, address := newBrokenServer(t, h, 1000)
	setEntries([]*fakeHost{h}, entry("e1", "a", address))
	c := &Client{Seeds: []string{h.addr}}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: 300 * time.Millisecond, AtMostOnce: true})
	if err == nil || got.Outcome() != magnoliashore.OutcomeUnknown || got.Reason() != magnoliashore.ReasonLost {
		t.Errorf("got %+v, %v, want unknown and an error", got, err)
	}
	if attempts := len(broken.receivedQueries()); attempts < 2 || attempts > 10 {
		t.Errorf("got %d attempts, want 2 to 10", attempts)
	}
	checkSameTicket(t, broken.receivedQueries())
}

func TestAtMostOnceAfterRefusedConnection(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		second magnoliashore.AnswerSpec
		want   magnoliashore.Outcome
	}{
		{"forwarded", specRan, magnoliashore.OutcomeRan},
		{"refused", specBusy, magnoliashore.OutcomeNotRun},
		{"unknown", specUnknown, magnoliashore.OutcomeUnknown},
	}
	for _, c := range cases {
		second := newHost(t, "e2", c.second)
		setEntries([]*fakeHost{second}, entry("e1", "a", refusingAddress), entry("e2", "b", second.addr))
		client := &Client{Seeds: []string{second.addr}, Zone: "a"}
		got, _ := client.Query(t.Context(), Request{Group: "g", Deadline: 300 * time.Millisecond, AtMostOnce: true})
		if got.Outcome() != c.want {
			t.Errorf("%s: got %+v", c.name, got)
		}
		for _, q := range second.receivedQueries() {
			if q.Ticket().Host() != "e1" {
				t.Errorf("%s: got ticket %+v, want one of e1", c.name, q.Ticket())
			}
		}
		checkSameTicket(t, second.receivedQueries())
	}
}

// TestAtMostOnceTrustsNotRunFromTicketHostOnly checks that after a lost attempt
// only the ticket's host can report that the query did not run.
func TestAtMostOnceTrustsNotRunFromTicketHostOnly(t *testing.T) {
	t.Parallel()
	cases := map[magnoliashore.HostID]magnoliashore.Outcome{
		"e1": magnoliashore.OutcomeNotRun,
		"e9": magnoliashore.OutcomeUnknown,
	}
	for name, want := range cases {
		h := newHost(t, name, specBusy)
		_, address := newBrokenServer(t, h, 1)
		setEntries([]*fakeHost{h}, entry("e1", "a", address))
		c := &Client{Seeds: []string{h.addr}}
		got, _ := c.Query(t.Context(), Request{Group: "g", Deadline: 300 * time.Millisecond, AtMostOnce: true})
		if got.Outcome() != want {
			t.Errorf("%s: got %+v, want %v", name, got, want)
		}
	}
}

func TestAtMostOnceRefusalIsNotRetried(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specStarting)
	setEntries([]*fakeHost{h}, entry("e1", "a", h.addr), entry("e2", "b", h.addr))
	c := &Client{Seeds: []string{h.addr}, Zone: "a"}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline, AtMostOnce: true})
	if err != nil || got.Outcome() != magnoliashore.OutcomeNotRun || len(h.receivedQueries()) != 1 {
		t.Errorf("got %+v, %v after %d attempts", got, err, len(h.receivedQueries()))
	}
}

// TestTransportDoesNotReplay closes a reused connection during a query: net/http
// must not resend the query on its own.
func TestTransportDoesNotReplay(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	broken, address := newBrokenServer(t, h, 0)
	setEntries([]*fakeHost{h}, entry("e1", "a", address))
	c := &Client{Seeds: []string{h.addr}, MaxRetries: -1}
	if _, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline}); err != nil {
		t.Fatal(err)
	}
	broken.mu.Lock()
	broken.failuresLeft = 1
	broken.mu.Unlock()
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline})
	if err == nil || got.Outcome() != magnoliashore.OutcomeUnknown {
		t.Errorf("got %+v, %v, want unknown and an error", got, err)
	}
	if got, want := len(broken.receivedQueries()), 2; got != want {
		t.Errorf("got %d attempts, want %d", got, want)
	}
}

// TestRequestBodyCannotBeRewound checks that net/http cannot send the body a
// second time.
func TestRequestBodyCannotBeRewound(t *testing.T) {
	t.Parallel()
	got, err := newRequest(t.Context(), "127.0.0.1:1", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if got.GetBody != nil || got.ContentLength != 4 {
		t.Errorf("got a body that can be rewound or the length %d, want none and 4", got.ContentLength)
	}
}

// TestAtMostOnceRetriesAfterUnknownFromOtherHost checks that an unknown outcome is
// final only if the ticket's host reports it.
func TestAtMostOnceRetriesAfterUnknownFromOtherHost(t *testing.T) {
	t.Parallel()
	second := newHost(t, "e2", specRan)
	setEntries([]*fakeHost{second}, entry("e1", "a", refusingAddress), entry("e2", "b", second.addr))
	ran := second.answer
	second.answer = func(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
		if len(second.receivedQueries()) > 1 {
			return ran(ctx, query)
		}
		spec := specUnknown
		spec.Host = "e2"
		return magnoliashore.NewAnswer(spec)
	}
	c := &Client{Seeds: []string{second.addr}, Zone: "a"}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: longDeadline, AtMostOnce: true})
	if err != nil || got.Outcome() != magnoliashore.OutcomeRan || len(second.receivedQueries()) != 2 {
		t.Errorf("got %+v, %v after %d attempts", got, err, len(second.receivedQueries()))
	}
	checkSameTicket(t, second.receivedQueries())
}
