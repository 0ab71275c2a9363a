package standin_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

// Clients cancel many requests while the target is chilled and restarted. The
// slot limit must hold, no slot may leak, and every crash must be recorded.
func TestTargetUnderCancellationAndRestart(t *testing.T) {
	t.Parallel()
	const clients, requests, restarts, slots = 10, 40, 5, 4
	for name, cold := range map[string]int{"crashes on overload": 3, "never crashes": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startTarget(t, standin.TargetConfig{
				Slots: slots, ColdSlots: cold, MaxWaiting: 2, WarmAfter: 1, Latency: 4 * time.Millisecond, Seed: 5,
			})
			var group sync.WaitGroup
			for i := range clients {
				group.Go(func() { sendWithTimeouts(t, target, uint64(i), requests) })
			}
			for range restarts {
				time.Sleep(20 * time.Millisecond)
				target.Restart()
				time.Sleep(20 * time.Millisecond)
				target.Chill()
			}
			group.Wait()
			client := newClient(t)
			eventually(t, "every slot is free", func() bool { return health(t, client, target).Busy == 0 })
			checkLedger(t, target, slots, restarts)
			if got, wantOverruns := results(target)[standin.ResultOverrun] > 0, cold < slots; got != wantOverruns {
				t.Errorf("got overruns %v, want %v", got, wantOverruns)
			}
			if got := target.PeakCold(); got > cold+1 || got > slots {
				t.Errorf("got %d cold at once, want at most the %d that crash the target", got, cold+1)
			}
		})
	}
}

func checkLedger(t *testing.T, target *standin.Target, slots, restarts int) {
	t.Helper()
	incarnations := map[string]bool{target.Incarnation(): true}
	for _, entry := range target.Ledger() {
		incarnations[entry.Incarnation()] = true
		if entry.Running() > slots {
			t.Errorf("got %d running, want at most %d", entry.Running(), slots)
		}
		if entry.Result() == standin.ResultRefused && entry.Begun() {
			t.Errorf("got %+v, want a refused entry that never began", entry)
		}
	}
	overruns := results(target)[standin.ResultOverrun]
	if got, limit := len(incarnations), overruns+restarts+1; got > limit {
		t.Errorf("got %d incarnations with %d overruns, want at most %d", got, overruns, limit)
	}
}

// sendWithTimeouts sends requests one after another with short random timeouts.
func sendWithTimeouts(t *testing.T, target *standin.Target, seed uint64, requests int) {
	client := newClient(t)
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range requests {
		timeout := time.Duration(1+random.IntN(20)) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		sendRequest(ctx, client, target, i+1, nil)
		cancel()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}
