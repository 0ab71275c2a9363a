package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
)

// stream asks one kind of query at a steady rate.
type stream struct {
	group    magnoliashore.GroupName
	period   time.Duration
	deadline time.Duration
	once     bool
}

// told is what a caller was told of one query.
type told struct {
	asked  time.Time
	took   time.Duration
	answer magnoliashore.Answer
	err    error
	once   bool
}

// load is a running set of streams.
type load struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu   sync.Mutex
	list []told
}

// ask starts the streams; end stops them and returns what callers were told.
func (c *cell) ask(asker *client.Client, streams ...stream) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
	c.t.Cleanup(stop)
	for _, s := range streams {
		l.done.Go(func() { l.run(ctx, asker, s) })
	}
	return l
}

func (l *load) run(ctx context.Context, asker *client.Client, s stream) {
	tick := time.NewTicker(s.period)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			open.Go(func() { l.askOne(asker, s) })
		}
	}
}

func (l *load) askOne(asker *client.Client, s stream) {
	asked := time.Now()
	answer, err := asker.Query(context.Background(), client.Request{
		Group: s.group, Body: []byte("{}"), Deadline: s.deadline, AtMostOnce: s.once,
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, told{asked: asked, took: time.Since(asked), answer: answer, err: err, once: s.once})
}

// end stops the load and returns what callers were told.
func (l *load) end() []told {
	l.stop()
	l.done.Wait()
	return l.list
}

// summary counts outcomes and reasons, for messages.
func summary(list []told) string {
	counts := make(map[string]int)
	complete := 0
	for _, one := range list {
		counts[fmt.Sprintf("%v/%s", one.answer.Outcome(), one.answer.Reason())]++
		if one.answer.Coverage().Complete() && one.answer.Outcome() == magnoliashore.OutcomeRan {
			complete++
		}
	}
	return fmt.Sprintf("%d asked, %d complete, %v", len(list), complete, counts)
}
