package peer

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func (c *Codec) batchToWire(b Batch) wireBatch {
	now := c.Clock.Now()
	w := wireBatch{Order: b.Order, Sent: now.UnixMicro(), Subs: make([]wireSub, 0, len(b.Subs))}
	for _, s := range b.Subs {
		w.Query = string(s.Query())
		w.Body = s.Body()
		w.Subs = append(w.Subs, wireSub{
			ID: s.ID(), Partition: string(s.Partition()), Target: string(s.Target()),
			Snapshot: uint64(s.Snapshot()), Remaining: s.Deadline().Sub(now).Microseconds(), Once: s.Once(),
		})
	}
	return w
}

func (c *Codec) batchFromWire(w wireBatch, estimator *DelayEstimator) Batch {
	now := c.Clock.Now()
	waited := estimator.delay(now, w.Sent)
	b := Batch{Order: w.Order, Subs: make([]magnoliashore.Sub, 0, len(w.Subs))}
	for _, s := range w.Subs {
		b.Subs = append(b.Subs, magnoliashore.NewSub(magnoliashore.SubSpec{
			ID: s.ID, Query: magnoliashore.QueryID(w.Query),
			Partition: magnoliashore.PartitionID(s.Partition), Target: magnoliashore.TargetID(s.Target),
			Snapshot: magnoliashore.SnapshotID(s.Snapshot),
			Deadline: now.Add(micros(s.Remaining) - waited), Once: s.Once, Body: w.Body,
		}))
	}
	return b
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func answersToWire(a Answers) wireAnswers {
	w := wireAnswers{Order: a.Order, List: make([]wireAnswer, 0, len(a.List))}
	for _, s := range a.List {
		w.List = append(w.List, wireAnswer{
			ID: s.ID(), Partition: string(s.Partition()), Target: string(s.Target()),
			Snapshot: uint64(s.Snapshot()), Outcome: int(s.Outcome()), Reason: string(s.Reason()),
			After: s.RetryAfter().Microseconds(), Body: s.Body(), Load: loadToWire(s.Load()),
		})
	}
	return w
}

func answersFromWire(w wireAnswers) Answers {
	a := Answers{Order: w.Order, List: make([]magnoliashore.SubAnswer, 0, len(w.List))}
	for _, s := range w.List {
		a.List = append(a.List, magnoliashore.NewSubAnswer(magnoliashore.SubAnswerSpec{
			ID: s.ID, Partition: magnoliashore.PartitionID(s.Partition), Target: magnoliashore.TargetID(s.Target),
			Snapshot: magnoliashore.SnapshotID(s.Snapshot), Outcome: outcomeFromWire(s.Outcome),
			Reason: magnoliashore.Reason(s.Reason), RetryAfter: micros(s.After), Body: s.Body, Load: loadFromWire(s.Load),
		}))
	}
	return a
}

// outcomeFromWire returns OutcomeUnknown for an undefined number.
func outcomeFromWire(n int) magnoliashore.Outcome {
	switch o := magnoliashore.Outcome(n); o {
	case magnoliashore.OutcomeRan, magnoliashore.OutcomeNotRun:
		return o
	default:
		return magnoliashore.OutcomeUnknown
	}
}

func loadToWire(l magnoliashore.Load) wireLoad {
	return wireLoad{
		Queue: l.Queue(), Busy: l.Busy(), Limit: l.Limit(), Cold: l.Cold(), Latency: l.Latency().Microseconds(),
	}
}

func loadFromWire(w wireLoad) magnoliashore.Load {
	return magnoliashore.NewLoad(w.Queue, w.Busy, w.Limit, w.Cold, micros(w.Latency))
}

func valuesToWire(v Values) wireValues {
	w := wireValues{List: make([]wireValue, 0, len(v.List)), HostsAge: v.HostsAge.Milliseconds()}
	for _, value := range v.List {
		w.List = append(w.List, wireValue{Key: value.Key(), Version: uint64(value.Version()), Data: value.Data()})
	}
	if v.Hosts != nil {
		w.Hosts = &wireHosts{Live: v.Hosts.Live(), Leaving: v.Hosts.LeavingNames()}
	}
	return w
}

func valuesFromWire(w wireValues) Values {
	v := Values{List: make([]magnoliashore.Value, 0, len(w.List)), HostsAge: time.Duration(w.HostsAge) * time.Millisecond}
	for _, value := range w.List {
		v.List = append(v.List, magnoliashore.NewValue(value.Key, magnoliashore.Version(value.Version), value.Data))
	}
	if w.Hosts != nil {
		hosts := magnoliashore.NewHostList(w.Hosts.Live, w.Hosts.Leaving)
		v.Hosts = &hosts
	}
	return v
}

func (c *Codec) forwardToWire(f Forward) wireForward {
	now := c.Clock.Now()
	q := f.Query
	t := q.Ticket()
	w := wireForward{
		ID: f.ID, Sent: now.UnixMicro(), Query: string(q.ID()), Group: string(q.Group()), Body: q.Body(),
		Remaining: q.Deadline().Sub(now).Microseconds(), TopK: q.Merge().Best(),
		Ticket: wireTicket{
			Host: string(t.Host()), Incarnation: uint64(t.Incarnation()), Epoch: uint64(t.Epoch()), ID: t.ID(),
		},
	}
	for _, s := range q.Services() {
		w.Services = append(w.Services, string(s))
	}
	return w
}

func (c *Codec) forwardFromWire(w wireForward, estimator *DelayEstimator) Forward {
	now := c.Clock.Now()
	spec := magnoliashore.QuerySpec{
		ID: magnoliashore.QueryID(w.Query), Group: magnoliashore.GroupName(w.Group), Body: w.Body,
		Deadline: now.Add(micros(w.Remaining) - estimator.delay(now, w.Sent)), Once: true,
		Ticket: magnoliashore.NewTicket(magnoliashore.HostID(w.Ticket.Host),
			magnoliashore.Incarnation(w.Ticket.Incarnation), magnoliashore.Epoch(w.Ticket.Epoch), w.Ticket.ID),
		Merge: magnoliashore.MergeBest(w.TopK),
	}
	for _, s := range w.Services {
		spec.Services = append(spec.Services, magnoliashore.ServiceName(s))
	}
	return Forward{ID: w.ID, Query: magnoliashore.NewQuery(spec)}
}

func forwardedToWire(f Forwarded) wireForwarded {
	a := f.Answer
	w := wireForwarded{
		ID: f.ID, Query: string(a.Query()), Outcome: int(a.Outcome()), Reason: string(a.Reason()),
		Detail: a.Detail(), After: a.RetryAfter().Microseconds(), Snapshot: uint64(a.Snapshot()),
		Covered: a.Coverage().Covered(), Total: a.Coverage().Total(), Subs: a.Subs(), Host: string(a.Host()),
	}
	for _, m := range a.Coverage().Missing() {
		w.Missing = append(w.Missing, wireMissing{Partition: string(m.Partition()), Reason: string(m.Reason())})
	}
	for _, z := range a.Coverage().Zones() {
		w.Zones = append(w.Zones, wireZone{Zone: string(z.Zone()), Covered: z.Covered(), Total: z.Total()})
	}
	for _, p := range a.Parts() {
		w.Parts = append(w.Parts, wirePartial{Partition: string(p.Partition()), Target: string(p.Target()), Body: p.Body()})
	}
	for _, i := range a.Items() {
		w.Items = append(w.Items, wireItem{Score: i.Score(), Partition: string(i.Partition()), Body: i.Body()})
	}
	return w
}

func forwardedFromWire(w wireForwarded) Forwarded {
	missing := make([]magnoliashore.Miss, 0, len(w.Missing))
	for _, m := range w.Missing {
		missing = append(missing, magnoliashore.NewMiss(magnoliashore.PartitionID(m.Partition), magnoliashore.Reason(m.Reason)))
	}
	zones := make([]magnoliashore.ZoneCoverage, 0, len(w.Zones))
	for _, z := range w.Zones {
		zones = append(zones, magnoliashore.NewZoneCoverage(magnoliashore.ZoneName(z.Zone), z.Covered, z.Total))
	}
	spec := magnoliashore.AnswerSpec{
		Query: magnoliashore.QueryID(w.Query), Outcome: outcomeFromWire(w.Outcome),
		Reason: magnoliashore.Reason(w.Reason), Detail: w.Detail, RetryAfter: micros(w.After),
		Snapshot: magnoliashore.SnapshotID(w.Snapshot),
		Coverage: magnoliashore.NewCoverage(w.Covered, w.Total, missing, zones),
		Subs:     w.Subs, Host: magnoliashore.HostID(w.Host),
	}
	for _, p := range w.Parts {
		part := magnoliashore.NewPart(magnoliashore.PartitionID(p.Partition), magnoliashore.TargetID(p.Target), p.Body)
		spec.Parts = append(spec.Parts, part)
	}
	for _, i := range w.Items {
		item := magnoliashore.NewItem(i.Score, magnoliashore.PartitionID(i.Partition), i.Body)
		spec.Items = append(spec.Items, item)
	}
	return Forwarded{ID: w.ID, Answer: magnoliashore.NewAnswer(spec)}
}
