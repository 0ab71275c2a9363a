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

// The overload: the gallery of the small cell has one service with two targets
// of three slots, so at this service time it answers 150 queries a second.
const (
	slowService   = 40 * time.Millisecond
	overload      = 5
	overloadRate  = overload * 2 * 3 * time.Second / slowService // queries a second, as a plain number
	overloadDue   = 400 * time.Millisecond
	overloadFor   = 4 * time.Second
	leastRefusals = 500
)

// slowGallery slows the targets of the gallery down.
func slowGallery(config *standin.TargetConfig) {
	if config.Service == "look01" {
		config.Latency = slowService
		config.StragglerProbability = 0
	}
}

// refusals returns the times of the refused queries, sorted, and checks that
// each says when to come back.
func refusals(t *testing.T, list []told) []time.Duration {
	t.Helper()
	var times []time.Duration
	for _, one := range list {
		if one.err != nil || one.answer.Outcome() != magnoliashore.OutcomeNotRun {
			continue
		}
		times = append(times, one.took)
		if one.answer.After() <= 0 {
			t.Errorf("query %s, refused for %s: got no time to come back, want one", one.answer.Query(), one.answer.Reason())
		}
	}
	slices.Sort(times)
	return times
}

// TestRefusalsComeAtOnce asks five times what the targets can do. The refusals
// come at once, not near the deadline, and say when to come back.
func TestRefusalsComeAtOnce(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: small(), hosts: 3, target: slowGallery}).start(t)
	c.warm("gallery")
	period := time.Second / overloadRate
	l := c.ask(c.client(), stream{group: "gallery", period: period, deadline: overloadDue})
	time.Sleep(overloadFor)
	list := l.end()
	t.Log(summary(list))

	times := refusals(t, list)
	if got := len(times); got < leastRefusals {
		t.Fatalf("refusals: got %d of %d, want at least %d", got, len(list), leastRefusals)
	}
	median, last := times[len(times)/2], times[len(times)-1]
	t.Logf("refusals: %d, median %v, 99 of 100 %v, last %v", len(times), median, times[len(times)*99/100], last)
	if median >= overloadDue/4 {
		t.Errorf("median time of a refusal: got %v, want below %v", median, overloadDue/4)
	}
	if limit := overloadDue * 3 / 4; last >= limit {
		t.Errorf("longest time of a refusal: got %v, want below %v", last, limit)
	}
}

// TestNoConfigurationIsRefusedAtOnce asks hosts that have no configuration.
func TestNoConfigurationIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: small(), hosts: 2}).startEmpty(t)
	asker := newRaw(t)
	for _, s := range c.seats {
		c.await(10*time.Second, string(s.host)+" accepts callers", func() bool { return health(t, asker, s) })
		asked := time.Now()
		answer, err := asker.post(s.caller, magnoliashore.QuerySpec{ID: "q", Group: "gallery", Body: []byte("{}")}, overloadDue)
		took := time.Since(asked)
		if err != nil {
			t.Fatalf("query: got %v, want an answer", err)
		}
		if answer.Outcome() != magnoliashore.OutcomeNotRun || answer.Reason() != magnoliashore.ReasonStarting {
			t.Errorf("answer: got %v (%s), want notrun (starting)", answer.Outcome(), answer.Reason())
		}
		if answer.After() <= 0 {
			t.Error("answer: got no time to come back, want one")
		}
		if took >= overloadDue/4 {
			t.Errorf("time of the refusal: got %v, want below %v", took, overloadDue/4)
		}
	}
	answer, _ := c.client().Query(t.Context(), client.Request{Group: "gallery", Body: []byte("{}"), Deadline: overloadDue})
	if got := answer.Outcome(); got != magnoliashore.OutcomeNotRun {
		t.Errorf("answer of the client library: got %v, want notrun", got)
	}
}

// startEmpty runs the cell without publishing a table or a layout.
func (c *cell) startEmpty(t *testing.T) *cell {
	t.Helper()
	c.t = t
	c.dir = t.TempDir()
	c.startStandins(t.Context())
	for i := range c.hosts {
		c.seats = append(c.seats, c.newSeat(i))
	}
	for _, s := range c.seats {
		c.run(s)
	}
	t.Cleanup(c.stop)
	return c
}

// health reports whether a host accepts callers.
func health(t *testing.T, asker *raw, s *seat) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.caller+"/health", nil)
	if err != nil {
		t.Fatalf("request: got %v, want none", err)
	}
	_, err = asker.read(request)
	return err == nil
}
