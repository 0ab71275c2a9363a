package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
)

// stream describes a load of one kind of query at a steady rate.
type stream struct {
	group      magnoliashore.GroupName
	period     time.Duration
	deadline   time.Duration
	atMostOnce bool
}

// loadResult is the answer to one query of a load, with its latency.
type loadResult struct {
	sentAt     time.Time
	took       time.Duration
	answer     magnoliashore.Answer
	err        error
	atMostOnce bool
}

// load is a set of running streams.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	results []loadResult
}

// startLoad starts the streams. Call end to stop them and get the results.
func (c *cell) startLoad(querier *client.Client, streams ...stream) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	c.t.Cleanup(cancel)
	for _, s := range streams {
		l.wg.Go(func() { l.run(ctx, querier, s) })
	}
	return l
}

func (l *load) run(ctx context.Context, querier *client.Client, s stream) {
	tick := time.NewTicker(s.period)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			wg.Go(func() { l.query(querier, s) })
		}
	}
}

func (l *load) query(querier *client.Client, s stream) {
	sentAt := time.Now()
	answer, err := querier.Query(context.Background(), client.Request{
		Group: s.group, Body: []byte("{}"), Deadline: s.deadline, AtMostOnce: s.atMostOnce,
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, loadResult{sentAt: sentAt, took: time.Since(sentAt), answer: answer, err: err, atMostOnce: s.atMostOnce})
}

// end stops the load and returns its results.
func (l *load) end() []loadResult {
	l.cancel()
	l.wg.Wait()
	return l.results
}

// summary counts the results by outcome and reason, for messages.
func summary(list []loadResult) string {
	counts := make(map[string]int)
	complete := 0
	for _, result := range list {
		counts[fmt.Sprintf("%v/%s", result.answer.Outcome(), result.answer.Reason())]++
		if result.answer.Coverage().Complete() && result.answer.Outcome() == magnoliashore.OutcomeRan {
			complete++
		}
	}
	return fmt.Sprintf("%d queries, %d complete, %v", len(list), complete, counts)
}
