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

// directUserTimeout is the longest time for which bytes to a target may stay
// unacknowledged.
const directUserTimeout = 80 * time.Millisecond

// direct sends each query straight to one random replica of every partition.
// It knows no cold limit, no queue and no hedge.
type direct struct {
	clock  *timer.Service
	pool   *target.Pool
	layout magnoliashore.Layout
	subs   atomic.Uint64
}

func newDirect(clock *timer.Service, layout magnoliashore.Layout, services []magnoliashore.Service) *direct {
	d := &direct{
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

// close ends the connections.
func (d *direct) close() {
	for _, t := range d.layout.Targets() {
		d.pool.Close(t.ID())
	}
}

func (d *direct) ask(ctx context.Context, q question) magnoliashore.Answer {
	snapshot, ok := d.layout.Newest(q.group.name)
	if !ok {
		return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
			Query: q.id, Outcome: magnoliashore.OutcomeNotRun, Reason: magnoliashore.ReasonRequest,
		})
	}
	random := rand.New(rand.NewPCG(q.arrival.pick, 0))
	deadline := d.clock.Now().Add(q.deadline)
	parts := snapshot.Partitions()
	answers := make([]magnoliashore.SubAnswer, len(parts))
	var open sync.WaitGroup
	for i, part := range parts {
		ids := part.Targets()
		t, _ := d.layout.Target(ids[random.IntN(len(ids))])
		sub := magnoliashore.NewSub(magnoliashore.SubSpec{
			ID: d.subs.Add(1), Query: q.id, Partition: part.ID(), Target: t.ID(), Snapshot: snapshot.ID(),
			Deadline: deadline, Once: q.group.once, Body: []byte("{}"),
		})
		open.Go(func() { answers[i], _ = d.pool.Send(ctx, sub, t, magnoliashore.Permit{}) })
	}
	open.Wait()
	return join(q.id, snapshot.ID(), answers)
}

// join returns the answer that the sub-answers make.
func join(id magnoliashore.QueryID, snapshot magnoliashore.SnapshotID, answers []magnoliashore.SubAnswer) magnoliashore.Answer {
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
