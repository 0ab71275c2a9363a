package event

import (
	"testing"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/timer"
)

func TestLogKeepsLatestEvents(t *testing.T) {
	t.Parallel()
	l := &Log{Clock: &timer.Service{}, Size: 2}
	for _, code := range []magnoliashore.EventCode{
		PeerUp, QueryRefused, LeaseHeld, QueryPartial, QueryRestarted, LeaseLost, QueryHedged,
	} {
		l.Emit(magnoliashore.NewEvent(magnoliashore.EventSpec{Code: code}))
	}
	events := l.Events()
	got := make([]magnoliashore.EventCode, 0, len(events))
	for _, e := range events {
		got = append(got, e.Code())
	}
	want := []magnoliashore.EventCode{LeaseHeld, QueryRestarted, LeaseLost, QueryHedged}
	if len(got) != len(want) {
		t.Fatalf("events: got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("event %d: got %d, want %d", i, got[i], want[i])
		}
	}
}

func TestLogOrderFollowsWitness(t *testing.T) {
	t.Parallel()
	l := &Log{Clock: &timer.Service{}, Size: 2}
	l.Witness(41)
	if got, want := l.Order(), uint64(42); got != want {
		t.Errorf("order: got %d, want %d", got, want)
	}
}
