package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
)

const (
	callers     = 40              // goroutines that ask at once
	callerConns = 3               // connections to each host that they share
	answersFor  = 5 * time.Second // length of the load
	answerDue   = 2 * time.Second // deadline where answers must come
	answerCut   = 60 * time.Millisecond
	timeouts    = 15 // queries that time out before their reply is released
)

// lines are relays between callers and the hosts' addresses for callers.
type lines map[string]*relay

func (c *cell) lines() lines {
	list := make(lines)
	for _, s := range c.seats {
		list[s.caller] = startRelay(c.t, s.caller)
	}
	return list
}

// client returns a client library with few connections, all through the
// relays.
func (l lines) client(c *cell, conns int, seats ...*seat) *client.Client {
	asker := c.client(seats...)
	transport := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var dialer net.Dialer
			if r, ok := l[address]; ok {
				address = r.address
			}
			return dialer.DialContext(ctx, network, address)
		},
	}
	c.t.Cleanup(transport.CloseIdleConnections)
	asker.HTTP = &http.Client{Transport: transport}
	return asker
}

// stutter holds and releases the replies of one relay after the other.
func (l lines) stutter(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		for _, r := range l {
			r.set("", rule{holdOff: true})
			time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			r.set("", rule{})
		}
	}
}

// question is one of the kinds of request that callers mix.
type question struct {
	group    magnoliashore.GroupName
	services []magnoliashore.ServiceName
}

func questions() []question {
	return []question{
		{group: "gallery"},
		{group: "upload", services: []magnoliashore.ServiceName{"upload01"}},
		{group: "upload", services: []magnoliashore.ServiceName{"upload02"}},
		{group: "upload"},
		{group: "archive"},
		{group: "enquiry"},
	}
}

// answered is an answer with what was asked.
type answered struct {
	asked  question
	id     magnoliashore.QueryID
	answer magnoliashore.Answer
	err    error
}

// TestEveryCallerGetsItsOwnAnswer lets many callers ask different questions
// over few connections whose replies are held and released.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := (&cell{shape: small(), hosts: 3, relayed: true}).start(t)
	c.warm("archive")
	l := c.lines()
	asker := l.client(c, callerConns)
	ctx, stop := context.WithTimeout(t.Context(), answersFor)
	defer stop()
	go l.stutter(ctx, rand.New(rand.NewPCG(random.Uint64(), 1)))

	var mu sync.Mutex
	var list []answered
	var open sync.WaitGroup
	for i := range callers {
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
		open.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				one := askQuestion(asker, own, magnoliashore.QueryID(fmt.Sprintf("caller-%d-%d", i, n)))
				mu.Lock()
				list = append(list, one)
				mu.Unlock()
			}
		})
	}
	open.Wait()
	c.checkAnswers(list)
}

func askQuestion(asker *client.Client, random *rand.Rand, id magnoliashore.QueryID) answered {
	asked := questions()[random.IntN(len(questions()))]
	answer, err := asker.Query(context.Background(), client.Request{
		ID: id, Group: asked.group, Services: asked.services, Body: []byte(`{"for":"` + string(id) + `"}`),
		Deadline: answerDue,
	})
	return answered{asked: asked, id: id, answer: answer, err: err}
}

// checkAnswers recomputes every answer from its own request.
func (c *cell) checkAnswers(list []answered) {
	c.t.Helper()
	tr := c.truth(nil, c.layout())
	ran, complete := 0, 0
	for _, one := range list {
		if one.answer.Query() != one.id {
			c.t.Errorf("answer: got one to %q, want one to %q", one.answer.Query(), one.id)
			continue
		}
		if one.answer.Outcome() != magnoliashore.OutcomeRan {
			continue
		}
		ran++
		if one.answer.Coverage().Complete() {
			complete++
		}
		tr.check(c.t, one.answer, one.asked.group, one.asked.services...)
	}
	c.t.Logf("asked %d, ran %d, complete %d", len(list), ran, complete)
	if complete*2 < len(list) {
		c.t.Errorf("complete answers: got %d of %d, want at least half", complete, len(list))
	}
}

// TestNoLateAnswerAfterTimeout lets queries time out while their replies are
// held, releases the replies and asks again over the same few connections.
func TestNoLateAnswerAfterTimeout(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := (&cell{shape: small(), hosts: 2}).start(t)
	c.warm("upload")
	l := c.lines()
	for _, conns := range []int{1, 2} {
		asker := l.client(c, conns, c.seats[0])
		list := make([]answered, 0, 3*timeouts)
		for n := range timeouts {
			list = append(list, l.timeOut(t, asker, random, fmt.Sprintf("%d-%d", conns, n))...)
		}
		c.checkAnswers(list)
	}
}

// timeOut asks one query whose reply is held past its deadline and, around the
// release, others; it returns the others' answers.
func (l lines) timeOut(t *testing.T, asker *client.Client, random *rand.Rand, name string) []answered {
	t.Helper()
	ask := func(id string, deadline time.Duration) answered {
		asked := question{group: "upload", services: []magnoliashore.ServiceName{"upload01"}}
		if random.IntN(2) == 0 {
			asked.services = []magnoliashore.ServiceName{"upload02"}
		}
		answer, err := asker.Query(t.Context(), client.Request{
			ID: magnoliashore.QueryID(id), Group: asked.group, Services: asked.services, Body: []byte(id), Deadline: deadline,
		})
		return answered{asked: asked, id: magnoliashore.QueryID(id), answer: answer, err: err}
	}
	before := ask("before-"+name, answerDue)
	for _, r := range l {
		r.set("", rule{holdOff: true})
	}
	late := ask("late-"+name, answerCut)
	if late.answer.Outcome() != magnoliashore.OutcomeUnknown {
		t.Errorf("query %s: got %v while its reply was held, want unknown", late.id, late.answer.Outcome())
	}
	if got, want := late.answer.Query(), late.id; got != want {
		t.Errorf("answer after a timeout: got one to %q, want one to %q", got, want)
	}
	for _, r := range l {
		r.set("", rule{})
	}
	return []answered{before, ask("after-"+name, answerDue), ask("more-"+name, answerDue)}
}
