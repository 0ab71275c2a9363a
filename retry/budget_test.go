package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/retry"
)

const service = "shard"

// attempt is one attempt of the load in a test.
type attempt struct {
	at    time.Time
	extra bool
}

// flood sends requests at a steady mean rate to random hosts. Each request asks
// for one extra attempt, which is sent if the budget of its host allows it.
// All hosts restart at the given times.
func flood(limit retry.Limit, hosts int, perSecond float64, length time.Duration, random *rand.Rand, restarts ...time.Duration) []attempt {
	start := time.Unix(1000, 0)
	budgets := make([]retry.Budget, hosts)
	restart := func(at time.Time) {
		for i := range budgets {
			budgets[i] = retry.Budget{Limit: limit, Hosts: hosts, Started: at}
		}
	}
	restart(time.Time{})
	var attempts []attempt
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		now := start.Add(at)
		for len(restarts) > 0 && at >= restarts[0] {
			restart(start.Add(restarts[0]))
			restarts = restarts[1:]
		}
		b := &budgets[random.IntN(hosts)]
		b.CountRequest(now, service)
		attempts = append(attempts, attempt{at: now})
		if b.Take(now, service) {
			attempts = append(attempts, attempt{at: now, extra: true})
		}
	}
	return attempts
}

// TestLimitHoldsInEveryWindow checks the limit in each window while every request
// at many hosts fails and asks for an extra attempt.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	t.Parallel()
	checkEveryWindow(t)
}

// TestRestartDoublesTheSlack guards against a budget that begins anew with each process:
// a restart of all hosts gave the slack out twice in one window (review-budget).
func TestRestartDoublesTheSlack(t *testing.T) {
	t.Parallel()
	checkEveryWindow(t, 12*time.Second)
	checkEveryWindow(t, 12*time.Second, 14*time.Second, 19*time.Second)
}

// checkEveryWindow floods hosts that restart at the given times, and checks the limit in
// every window.
func checkEveryWindow(t *testing.T, restarts ...time.Duration) {
	t.Helper()
	limit := retry.Limit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		attempts := flood(limit, 8, 20+60*random.Float64(), 40*time.Second, random, restarts...)
		first, requests, extra := 0, 0, 0
		for _, s := range attempts {
			if s.extra {
				extra++
			} else {
				requests++
			}
			for attempts[first].at.Before(s.at.Add(-limit.Window)) {
				if attempts[first].extra {
					extra--
				} else {
					requests--
				}
				first++
			}
			if allowed := limit.Ratio*float64(requests) + float64(limit.Slack); float64(extra) > allowed {
				t.Fatalf("seed %d: got %d extra attempts for %d requests in a window, want at most %.0f", seed, extra, requests, allowed)
			}
		}
	}
}

// TestMostOfLimitIsUsable checks that most of the limit can be used while every
// request fails.
func TestMostOfLimitIsUsable(t *testing.T) {
	t.Parallel()
	limit := retry.Limit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	attempts := flood(limit, 1, 80, 10*time.Second, rand.New(rand.NewPCG(1, 1)))
	extra := 0
	for _, s := range attempts {
		if s.extra {
			extra++
		}
	}
	if want := 160; extra < want {
		t.Errorf("got %d extra attempts among %d attempts, want at least %d", extra, len(attempts), want)
	}
}

func TestNoLimitWithoutWindow(t *testing.T) {
	t.Parallel()
	var b retry.Budget
	for i := range 100 {
		if !b.Take(time.Unix(int64(i), 0), service) {
			t.Fatalf("extra attempt %d: got a refusal, want none", i)
		}
	}
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	t.Parallel()
	b := retry.Budget{Limit: retry.Limit{Ratio: 0, Slack: 2, Window: time.Second}, Hosts: 1}
	now := time.Unix(100, 0)
	for b.Take(now, "a") {
	}
	if !b.Take(now, "b") {
		t.Error("got a refusal for b after a used up its budget, want none")
	}
	if !b.Take(now.Add(3*time.Second), "a") {
		t.Error("got a refusal for a after its window has passed, want none")
	}
}
