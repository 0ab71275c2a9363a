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
	callerCount    = 40                    // concurrent callers
	connsPerHost   = 3                     // connections to each host, shared by all callers
	answersLength  = 5 * time.Second       // duration of the load
	answerDeadline = 2 * time.Second       // deadline of queries that must be answered
	shortDeadline  = 60 * time.Millisecond // deadline of queries that must time out
	timeoutRounds  = 15                    // number of queries that time out while their reply is held
)

// callerRelays holds one relay per host, between the callers and the host, by
// the host's caller address.
type callerRelays map[string]*relay

func (c *cell) startCallerRelays() callerRelays {
	list := make(callerRelays)
	for _, s := range c.seats {
		list[s.callerAddr] = startRelay(c.t, s.callerAddr)
	}
	return list
}

// newClient returns a client that opens at most conns connections to each host,
// all through the relays.
func (l callerRelays) newClient(c *cell, conns int, seats ...*seat) *client.Client {
	querier := c.newClient(seats...)
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
	querier.HTTP = &http.Client{Transport: transport}
	return querier
}

// holdReplies holds and releases the replies of one relay after another.
func (l callerRelays) holdReplies(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		for _, r := range l {
			r.set("", rule{holdReplies: true})
			time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			r.set("", rule{})
		}
	}
}

// queryKind is one kind of query in the callers' mix.
type queryKind struct {
	group    magnoliashore.GroupName
	services []magnoliashore.ServiceName
}

func queryKinds() []queryKind {
	return []queryKind{
		{group: "gallery"},
		{group: "upload", services: []magnoliashore.ServiceName{"upload01"}},
		{group: "upload", services: []magnoliashore.ServiceName{"upload02"}},
		{group: "upload"},
		{group: "archive"},
		{group: "enquiry"},
	}
}

// queryResult is a query with its answer.
type queryResult struct {
	kind   queryKind
	id     magnoliashore.QueryID
	answer magnoliashore.Answer
	err    error
}

// TestEveryCallerGetsItsOwnAnswer guards against answers that reach the wrong
// caller: many callers send different queries over a few shared connections
// while relays hold and release the replies.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := (&cell{shape: small(), hostCount: 3, relayed: true}).start(t)
	c.warm("archive")
	l := c.startCallerRelays()
	querier := l.newClient(c, connsPerHost)
	ctx, stop := context.WithTimeout(t.Context(), answersLength)
	defer stop()
	go l.holdReplies(ctx, rand.New(rand.NewPCG(random.Uint64(), 1)))

	var mu sync.Mutex
	var list []queryResult
	var wg sync.WaitGroup
	for i := range callerCount {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				result := queryRandomKind(querier, callerRandom, magnoliashore.QueryID(fmt.Sprintf("caller-%d-%d", i, n)))
				mu.Lock()
				list = append(list, result)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.checkAnswers(list)
}

func queryRandomKind(querier *client.Client, random *rand.Rand, id magnoliashore.QueryID) queryResult {
	kind := queryKinds()[random.IntN(len(queryKinds()))]
	answer, err := querier.Query(context.Background(), client.Request{
		ID: id, Group: kind.group, Services: kind.services, Body: []byte(`{"for":"` + string(id) + `"}`),
		Deadline: answerDeadline,
	})
	return queryResult{kind: kind, id: id, answer: answer, err: err}
}

// checkAnswers checks every answer against its own query, and that at least half
// of the queries have a complete answer.
func (c *cell) checkAnswers(list []queryResult) {
	c.t.Helper()
	truth := c.groundTruth(nil, c.layout())
	ran, complete := 0, 0
	for _, result := range list {
		if result.answer.Query() != result.id {
			c.t.Errorf("answer: got one for query %q, want one for %q", result.answer.Query(), result.id)
			continue
		}
		if result.answer.Outcome() != magnoliashore.OutcomeRan {
			continue
		}
		ran++
		if result.answer.Coverage().Complete() {
			complete++
		}
		truth.check(c.t, result.answer, result.kind.group, result.kind.services...)
	}
	c.t.Logf("queries %d, ran %d, complete %d", len(list), ran, complete)
	if complete*2 < len(list) {
		c.t.Errorf("complete answers: got %d of %d, want at least half", complete, len(list))
	}
}

// TestNoLateAnswerAfterTimeout guards against a late reply that is taken for the
// answer to a later query on the same connection: queries time out while their
// replies are held, then the replies are released and more queries follow over
// the same few connections.
func TestNoLateAnswerAfterTimeout(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := (&cell{shape: small(), hostCount: 2}).start(t)
	c.warm("upload")
	l := c.startCallerRelays()
	for _, conns := range []int{1, 2} {
		querier := l.newClient(c, conns, c.seats[0])
		list := make([]queryResult, 0, 3*timeoutRounds)
		for n := range timeoutRounds {
			list = append(list, l.queryAroundTimeout(t, querier, random, fmt.Sprintf("%d-%d", conns, n))...)
		}
		c.checkAnswers(list)
	}
}

// queryAroundTimeout sends a query whose reply is held past its deadline, with one
// query before it and two after the release, and returns the results of those
// three.
func (l callerRelays) queryAroundTimeout(t *testing.T, querier *client.Client, random *rand.Rand, name string) []queryResult {
	t.Helper()
	query := func(id string, deadline time.Duration) queryResult {
		kind := queryKind{group: "upload", services: []magnoliashore.ServiceName{"upload01"}}
		if random.IntN(2) == 0 {
			kind.services = []magnoliashore.ServiceName{"upload02"}
		}
		answer, err := querier.Query(t.Context(), client.Request{
			ID: magnoliashore.QueryID(id), Group: kind.group, Services: kind.services, Body: []byte(id), Deadline: deadline,
		})
		return queryResult{kind: kind, id: magnoliashore.QueryID(id), answer: answer, err: err}
	}
	before := query("before-"+name, answerDeadline)
	for _, r := range l {
		r.set("", rule{holdReplies: true})
	}
	late := query("late-"+name, shortDeadline)
	if late.answer.Outcome() != magnoliashore.OutcomeUnknown {
		t.Errorf("query %s: got %v while its reply was held, want unknown", late.id, late.answer.Outcome())
	}
	if got, want := late.answer.Query(), late.id; got != want {
		t.Errorf("answer after a timeout: got one for query %q, want one for %q", got, want)
	}
	for _, r := range l {
		r.set("", rule{})
	}
	return []queryResult{before, query("after-"+name, answerDeadline), query("more-"+name, answerDeadline)}
}
