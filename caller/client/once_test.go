package client

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// sameTicket checks that every query carries one and the same ticket.
func sameTicket(t *testing.T, queries []magnoliashore.Query) {
	t.Helper()
	for _, q := range queries {
		if q.Ticket().IsZero() || q.Ticket() != queries[0].Ticket() || !q.Once() || q.ID() != queries[0].ID() {
			t.Errorf("got ticket %+v, want %+v", q.Ticket(), queries[0].Ticket())
		}
	}
}

func TestOnceIsSentAgainWithTheSameTicket(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	broken, address := newBreaker(t, h, 3)
	publish([]*host{h}, entry("e1", "a", address))
	c := &Client{Seeds: []string{h.addr}}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: long, AtMostOnce: true})
	if err != nil || got.Outcome() != magnoliashore.OutcomeRan {
		t.Errorf("got %+v, %v", got, err)
	}
	if got, want := len(broken.got()), 4; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
	sameTicket(t, broken.got())
}

func TestOnceEndsUnknown(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	broken, address := newBreaker(t, h, 1000)
	publish([]*host{h}, entry("e1", "a", address))
	c := &Client{Seeds: []string{h.addr}}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: 300 * time.Millisecond, AtMostOnce: true})
	if err == nil || got.Outcome() != magnoliashore.OutcomeUnknown || got.Reason() != magnoliashore.ReasonLost {
		t.Errorf("got %+v, %v, want unknown and an error", got, err)
	}
	if sends := len(broken.got()); sends < 2 || sends > 10 {
		t.Errorf("got %d sends, want 2 to 10", sends)
	}
	sameTicket(t, broken.got())
}

func TestOnceAfterRefusedConnection(t *testing.T) {
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
		publish([]*host{second}, entry("e1", "a", refusing), entry("e2", "b", second.addr))
		asker := &Client{Seeds: []string{second.addr}, Zone: "a"}
		got, _ := asker.Query(t.Context(), Request{Group: "g", Deadline: 300 * time.Millisecond, AtMostOnce: true})
		if got.Outcome() != c.want {
			t.Errorf("%s: got %+v", c.name, got)
		}
		for _, q := range second.got() {
			if q.Ticket().Host() != "e1" {
				t.Errorf("%s: got ticket %+v, want one of e1", c.name, q.Ticket())
			}
		}
		sameTicket(t, second.got())
	}
}

// TestOnceTrustsNotRunOfTicketHostOnly checks that a host which was not named
// by the ticket cannot turn a lost send into one that did not run.
func TestOnceTrustsNotRunOfTicketHostOnly(t *testing.T) {
	t.Parallel()
	cases := map[magnoliashore.HostID]magnoliashore.Outcome{
		"e1": magnoliashore.OutcomeNotRun,
		"e9": magnoliashore.OutcomeUnknown,
	}
	for name, want := range cases {
		h := newHost(t, name, specBusy)
		_, address := newBreaker(t, h, 1)
		publish([]*host{h}, entry("e1", "a", address))
		c := &Client{Seeds: []string{h.addr}}
		got, _ := c.Query(t.Context(), Request{Group: "g", Deadline: 300 * time.Millisecond, AtMostOnce: true})
		if got.Outcome() != want {
			t.Errorf("%s: got %+v, want %v", name, got, want)
		}
	}
}

func TestOnceRefusedIsNotSentAgain(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specStart)
	publish([]*host{h}, entry("e1", "a", h.addr), entry("e2", "b", h.addr))
	c := &Client{Seeds: []string{h.addr}, Zone: "a"}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: long, AtMostOnce: true})
	if err != nil || got.Outcome() != magnoliashore.OutcomeNotRun || len(h.got()) != 1 {
		t.Errorf("got %+v, %v after %d sends", got, err, len(h.got()))
	}
}

// TestTransportReplaysNothing breaks a reused connection under a query: the
// transport must not send it again by itself.
func TestTransportReplaysNothing(t *testing.T) {
	t.Parallel()
	h := newHost(t, "e1", specRan)
	broken, address := newBreaker(t, h, 0)
	publish([]*host{h}, entry("e1", "a", address))
	c := &Client{Seeds: []string{h.addr}, MaxRetries: -1}
	if _, err := c.Query(t.Context(), Request{Group: "g", Deadline: long}); err != nil {
		t.Fatal(err)
	}
	broken.mu.Lock()
	broken.times = 1
	broken.mu.Unlock()
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: long})
	if err == nil || got.Outcome() != magnoliashore.OutcomeUnknown {
		t.Errorf("got %+v, %v, want unknown and an error", got, err)
	}
	if got, want := len(broken.got()), 2; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}

// TestRequestCannotBeRewound checks that net/http has no means to send the
// body a second time.
func TestRequestCannotBeRewound(t *testing.T) {
	t.Parallel()
	got, err := newRequest(t.Context(), "127.0.0.1:1", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if got.GetBody != nil || got.ContentLength != 4 {
		t.Errorf("got a body to rewind or the length %d, want none and 4", got.ContentLength)
	}
}

// TestOnceAsksAgainAfterUnknownOfAnotherHost checks that only the host of the
// ticket ends the search for the outcome.
func TestOnceAsksAgainAfterUnknownOfAnotherHost(t *testing.T) {
	t.Parallel()
	second := newHost(t, "e2", specRan)
	publish([]*host{second}, entry("e1", "a", refusing), entry("e2", "b", second.addr))
	ran := second.answer
	second.answer = func(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
		if len(second.got()) > 1 {
			return ran(ctx, query)
		}
		spec := specUnknown
		spec.Host = "e2"
		return magnoliashore.NewAnswer(spec)
	}
	c := &Client{Seeds: []string{second.addr}, Zone: "a"}
	got, err := c.Query(t.Context(), Request{Group: "g", Deadline: long, AtMostOnce: true})
	if err != nil || got.Outcome() != magnoliashore.OutcomeRan || len(second.got()) != 2 {
		t.Errorf("got %+v, %v after %d sends", got, err, len(second.got()))
	}
	sameTicket(t, second.got())
}
