package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/target"
	"github.com/magnoliashore/magnoliashore/timer"
)

// directUserTimeout limits how long data sent to a target may stay
// unacknowledged before the connection is closed.
const directUserTimeout = 80 * time.Millisecond

// directClient sends each query to one random replica of every partition,
// without entry hosts. It has no queue, no hedging and no limit for cold
// targets.
type directClient struct {
	clock     *timer.Service
	pool      *target.Pool
	layout    magnoliashore.Layout
	lastSubID atomic.Uint64
}

func newDirectClient(clock *timer.Service, layout magnoliashore.Layout, services []magnoliashore.Service) *directClient {
	d := &directClient{
		clock:  clock,
		pool:   &target.Pool{Clock: clock, UserTimeout: directUserTimeout},
		layout: layout,
	}
	conns := make(map[magnoliashore.ServiceName]int)
	for _, s := range services {
		conns[s.Name()] = s.Conns()
	}
	for _, t := range layout.Targets() {
		d.pool.Open(t, conns[t.Service()])
	}
	return d
}

// close closes the connections to the targets.
func (d *directClient) close() {
	for _, t := range d.layout.Targets() {
		d.pool.Close(t.ID())
	}
}

func (d *directClient) query(ctx context.Context, q scheduledQuery) magnoliashore.Answer {
	snapshot, ok := d.layout.Newest(q.group.name)
	if !ok {
		return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
			Query: q.id, Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonRequest,
		})
	}
	random := rand.New(rand.NewPCG(q.arrival.seed, 0))
	deadline := d.clock.Now().Add(q.deadline)
	partitions := snapshot.Partitions()
	answers := make([]magnoliashore.SubAnswer, len(partitions))
	var inFlight sync.WaitGroup
	for i, partition := range partitions {
		ids := partition.Targets()
		t, _ := d.layout.Target(ids[random.IntN(len(ids))])
		sub := magnoliashore.NewSub(magnoliashore.SubSpec{
			ID: d.lastSubID.Add(1), Query: q.id, Partition: partition.ID(), Target: t.ID(), Snapshot: snapshot.ID(),
			Deadline: deadline, Once: q.group.atMostOnce, Body: []byte("{}"),
		})
		inFlight.Go(func() { answers[i], _ = d.pool.Send(ctx, sub, t, magnoliashore.Permit{}) })
	}
	inFlight.Wait()
	return combineAnswers(q.id, snapshot.ID(), answers)
}

// combineAnswers returns the answer to a query from the sub-answers of its
// partitions.
func combineAnswers(id magnoliashore.QueryID, snapshot magnoliashore.SnapshotID, answers []magnoliashore.SubAnswer) magnoliashore.Answer {
	spec := magnoliashore.AnswerSpec{
		Query: id, Outcome: magnoliashore.OutcomeNotRun, Snapshot: snapshot, Subs: len(answers),
	}
	var missing []magnoliashore.Miss
	for _, a := range answers {
		if a.Outcome() == magnoliashore.OutcomeRan {
			spec.Outcome = magnoliashore.OutcomeRan
			continue
		}
		missing = append(missing, magnoliashore.NewMiss(a.Partition(), a.Reason()))
		spec.Reason = a.Reason()
		if a.Outcome() == magnoliashore.OutcomeUnknown && spec.Outcome == magnoliashore.OutcomeNotRun {
			spec.Outcome = magnoliashore.OutcomeUnknown
		}
	}
	spec.Coverage = magnoliashore.NewCoverage(len(answers)-len(missing), len(answers), missing, nil)
	return magnoliashore.NewAnswer(spec)
}
