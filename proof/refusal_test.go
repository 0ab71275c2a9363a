package proof

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Settings of the overload. The gallery group of the small cell has one service
// with two targets of three slots each, so at slowServiceTime it can answer 150
// queries a second.
const (
	slowServiceTime  = 40 * time.Millisecond
	overloadFactor   = 5
	overloadRate     = overloadFactor * 2 * 3 * time.Second / slowServiceTime // queries a second, despite the type time.Duration
	overloadDeadline = 400 * time.Millisecond
	overloadLength   = 4 * time.Second
	minRefusals      = 500
)

// slowGallery sets the service time of the gallery targets to slowServiceTime.
func slowGallery(config *standin.TargetConfig) {
	if config.Service == "look01" {
		config.Latency = slowServiceTime
		config.StragglerProbability = 0
	}
}

// refusalTimes returns the sorted response times of the refused queries, and checks
// that each refusal carries a retry-after time.
func refusalTimes(t *testing.T, list []loadResult) []time.Duration {
	t.Helper()
	var times []time.Duration
	for _, result := range list {
		if result.err != nil || result.answer.Outcome() != magnoliashore.OutcomeNotRun {
			continue
		}
		times = append(times, result.took)
		if result.answer.RetryAfter() <= 0 {
			t.Errorf("query %s, refused with reason %s: got no retry-after time, want one", result.answer.Query(), result.answer.Reason())
		}
	}
	slices.Sort(times)
	return times
}

// TestRefusalsComeAtOnce guards against refusals that come only near the deadline.
// The load is five times the capacity of the targets; refusals must come early
// and carry a retry-after time.
func TestRefusalsComeAtOnce(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: small(), hostCount: 3, configureTarget: slowGallery}).start(t)
	c.warm("gallery")
	period := time.Second / overloadRate
	l := c.startLoad(c.newClient(), stream{group: "gallery", period: period, deadline: overloadDeadline})
	time.Sleep(overloadLength)
	list := l.end()
	t.Log(summary(list))

	times := refusalTimes(t, list)
	if got := len(times); got < minRefusals {
		t.Fatalf("refusals: got %d of %d, want at least %d", got, len(list), minRefusals)
	}
	median, last := times[len(times)/2], times[len(times)-1]
	t.Logf("refusals: %d, median %v, 99th percentile %v, longest %v", len(times), median, times[len(times)*99/100], last)
	if median >= overloadDeadline/4 {
		t.Errorf("median time of a refusal: got %v, want below %v", median, overloadDeadline/4)
	}
	if limit := overloadDeadline * 3 / 4; last >= limit {
		t.Errorf("longest time of a refusal: got %v, want below %v", last, limit)
	}
}

// TestNoConfigurationIsRefusedAtOnce checks that hosts without a configuration
// refuse a query at once and do not let it run into its deadline.
func TestNoConfigurationIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: small(), hostCount: 2}).startUnconfigured(t)
	querier := newRawClient(t)
	for _, s := range c.seats {
		c.await(10*time.Second, string(s.host)+" accepts callers", func() bool { return acceptsCallers(t, querier, s) })
		asked := time.Now()
		answer, err := querier.post(s.callerAddr, magnoliashore.QuerySpec{ID: "q", Group: "gallery", Body: []byte("{}")}, overloadDeadline)
		took := time.Since(asked)
		if err != nil {
			t.Fatalf("query: got %v, want an answer", err)
		}
		if answer.Outcome() != magnoliashore.OutcomeNotRun || answer.Reason() != magnoliashore.ReasonStarting {
			t.Errorf("answer: got %v (%s), want notrun (starting)", answer.Outcome(), answer.Reason())
		}
		if answer.RetryAfter() <= 0 {
			t.Error("answer: got no retry-after time, want one")
		}
		if took >= overloadDeadline/4 {
			t.Errorf("time of the refusal: got %v, want below %v", took, overloadDeadline/4)
		}
	}
	answer, _ := c.newClient().Query(t.Context(), client.Request{Group: "gallery", Body: []byte("{}"), Deadline: overloadDeadline})
	if got := answer.Outcome(); got != magnoliashore.OutcomeNotRun {
		t.Errorf("answer of the client library: got %v, want notrun", got)
	}
}

// startUnconfigured starts the cell without publishing a table or a layout.
func (c *cell) startUnconfigured(t *testing.T) *cell {
	t.Helper()
	c.t = t
	c.dir = t.TempDir()
	c.startStandins(t.Context())
	for i := range c.hostCount {
		c.seats = append(c.seats, c.newSeat(i))
	}
	for _, s := range c.seats {
		c.startProcess(s)
	}
	t.Cleanup(c.stop)
	return c
}

// acceptsCallers reports whether a host answers on its caller address.
func acceptsCallers(t *testing.T, querier *rawClient, s *seat) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.callerAddr+"/health", nil)
	if err != nil {
		t.Fatalf("request: got %v, want none", err)
	}
	_, err = querier.do(request)
	return err == nil
}
