package entry

import (
	"context"
	"testing"

	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/timer"
)

func TestGuardRestartsADutyAfterAPanic(t *testing.T) {
	t.Parallel()
	h := &Host{Settings: settings.Default(), Timer: &timer.Service{}}
	h.Settings.Caller, h.Settings.Peer = "127.0.0.1:0", "127.0.0.1:0"
	if err := h.Prepare(t.Context()); err != nil {
		t.Fatalf("prepare: got %v, want none", err)
	}
	runs := 0
	err := h.guard(t.Context(), duty{"failing once", func(context.Context) error {
		runs++
		if runs == 1 {
			panic("first run")
		}
		return nil
	}})
	if err != nil {
		t.Errorf("error: got %v, want none", err)
	}
	if got, want := runs, 2; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	events := h.Events().Events()
	if got, want := events[len(events)-1].Code(), event.Fault; got != want {
		t.Errorf("last event: got %d, want %d", got, want)
	}
}
