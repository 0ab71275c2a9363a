package magnoliashore

import "time"

// Ticket permits one run of a non-idempotent query by one incarnation of one
// entry host. The zero Ticket means none.
type Ticket struct {
	host        HostID
	incarnation Incarnation
	epoch       Epoch
	id          string
}

// NewTicket returns a ticket; id is random and unique, at most 64 bytes.
func NewTicket(host HostID, incarnation Incarnation, epoch Epoch, id string) Ticket {
	return Ticket{host: host, incarnation: incarnation, epoch: epoch, id: id}
}

// Host returns the seat that alone may run the query.
func (t Ticket) Host() HostID { return t.host }

// Incarnation returns the process at the seat that alone may run the query.
func (t Ticket) Incarnation() Incarnation { return t.incarnation }

// Epoch returns the epoch of the incarnation in which the ticket was made.
func (t Ticket) Epoch() Epoch { return t.epoch }

// ID returns the random part.
func (t Ticket) ID() string { return t.id }

// IsZero reports whether the ticket is absent.
func (t Ticket) IsZero() bool { return t == Ticket{} }

// Merge says how the parts of an answer are joined.
type Merge struct{ best int }

// MergeAll returns a merge that keeps every part whole.
func MergeAll() Merge { return Merge{} }

// MergeBest returns a merge that keeps the n items with the highest score.
func MergeBest(n int) Merge { return Merge{best: n} }

// Best returns how many items to keep; zero means every part whole.
func (m Merge) Best() int { return m.best }

// QuerySpec holds the fields to build a Query from.
type QuerySpec struct {
	ID       QueryID
	Group    GroupName
	Services []ServiceName // empty means every service of the group
	Body     []byte
	Deadline time.Time // on the clock of this process
	Once     bool      // the query is not idempotent: it runs at most once
	Ticket   Ticket
	Merge    Merge
}

// Query is one request of a caller.
type Query struct{ spec QuerySpec }

// NewQuery returns the query that spec describes.
func NewQuery(spec QuerySpec) Query { return Query{spec: spec} }

// ID returns the query's name.
func (q Query) ID() QueryID { return q.spec.ID }

// WithID returns a copy of the query with a name.
func (q Query) WithID(id QueryID) Query {
	q.spec.ID = id
	return q
}

// WithDeadline returns a copy of the query that is due at another time.
func (q Query) WithDeadline(deadline time.Time) Query {
	q.spec.Deadline = deadline
	return q
}

// Group returns the group that the query addresses.
func (q Query) Group() GroupName { return q.spec.Group }

// Services returns the services asked for; empty means all of the group.
func (q Query) Services() []ServiceName { return q.spec.Services }

// Body returns what is sent to each target. The caller must not change it.
func (q Query) Body() []byte { return q.spec.Body }

// Deadline returns when the answer is due, on the clock of this process.
func (q Query) Deadline() time.Time { return q.spec.Deadline }

// Once reports whether the query runs at most once.
func (q Query) Once() bool { return q.spec.Once }

// Ticket returns the query's ticket, zero if it has none.
func (q Query) Ticket() Ticket { return q.spec.Ticket }

// Merge returns how the parts are joined.
func (q Query) Merge() Merge { return q.spec.Merge }

// SubSpec holds the fields to build a Sub from.
type SubSpec struct {
	ID        uint64 // unique per sending process
	Query     QueryID
	Partition PartitionID
	Target    TargetID
	Snapshot  SnapshotID
	Deadline  time.Time // on the clock of this process
	Once      bool
	Body      []byte
}

// Sub is the share of a query that one target runs: one partition.
type Sub struct{ spec SubSpec }

// NewSub returns the sub-request that spec describes.
func NewSub(spec SubSpec) Sub { return Sub{spec: spec} }

// ID returns the number that matches the answer to the sub-request.
func (s Sub) ID() uint64 { return s.spec.ID }

// Query returns the query that the sub-request belongs to.
func (s Sub) Query() QueryID { return s.spec.Query }

// Partition returns the partition to read.
func (s Sub) Partition() PartitionID { return s.spec.Partition }

// Target returns the target to ask.
func (s Sub) Target() TargetID { return s.spec.Target }

// Snapshot returns the snapshot that the target must answer from.
func (s Sub) Snapshot() SnapshotID { return s.spec.Snapshot }

// Deadline returns when the answer is due, on the clock of this process.
func (s Sub) Deadline() time.Time { return s.spec.Deadline }

// WithDeadline returns a copy of the sub-request that is due at another time.
func (s Sub) WithDeadline(deadline time.Time) Sub {
	s.spec.Deadline = deadline
	return s
}

// Once reports whether the sub-request must never be sent twice.
func (s Sub) Once() bool { return s.spec.Once }

// Body returns what is sent to the target.
func (s Sub) Body() []byte { return s.spec.Body }

// Load is what an owner reports of a target with each answer. It is a hint.
type Load struct {
	queue   int
	busy    int
	limit   int
	cold    bool
	latency time.Duration
}

// NewLoad returns a report: requests waiting, requests running, the current
// limit of running requests, whether the target is cold, and its recent
// latency.
func NewLoad(queue, busy, limit int, cold bool, latency time.Duration) Load {
	return Load{queue: queue, busy: busy, limit: limit, cold: cold, latency: latency}
}

// Queue returns the number of waiting requests.
func (l Load) Queue() int { return l.queue }

// Busy returns the number of running requests.
func (l Load) Busy() int { return l.busy }

// Limit returns how many requests may run at once now.
func (l Load) Limit() int { return l.limit }

// Cold reports whether the owner holds the target to be cold.
func (l Load) Cold() bool { return l.cold }

// Latency returns the target's recent latency.
func (l Load) Latency() time.Duration { return l.latency }

// SubAnswerSpec holds the fields to build a SubAnswer from.
type SubAnswerSpec struct {
	ID        uint64
	Partition PartitionID
	Target    TargetID
	Snapshot  SnapshotID
	Outcome   Outcome
	Reason    Reason
	After     time.Duration // when to come back, with OutcomeNotRun
	Body      []byte
	Load      Load
}

// SubAnswer is the final answer to one sub-request.
type SubAnswer struct{ spec SubAnswerSpec }

// NewSubAnswer returns the answer that spec describes.
func NewSubAnswer(spec SubAnswerSpec) SubAnswer { return SubAnswer{spec: spec} }

// Refuse returns the answer that sub did not run, for reason, with when to
// come back.
func Refuse(sub Sub, reason Reason, after time.Duration) SubAnswer {
	return NewSubAnswer(SubAnswerSpec{
		ID: sub.ID(), Partition: sub.Partition(), Target: sub.Target(), Snapshot: sub.Snapshot(),
		Outcome: OutcomeNotRun, Reason: reason, After: after,
	})
}

// Lose returns the answer that nothing is known of sub, for reason.
func Lose(sub Sub, reason Reason) SubAnswer {
	return NewSubAnswer(SubAnswerSpec{
		ID: sub.ID(), Partition: sub.Partition(), Target: sub.Target(), Snapshot: sub.Snapshot(),
		Outcome: OutcomeUnknown, Reason: reason,
	})
}

// WithLoad returns a copy of the answer that carries a load report.
func (a SubAnswer) WithLoad(load Load) SubAnswer {
	a.spec.Load = load
	return a
}

// ID returns the number of the sub-request answered.
func (a SubAnswer) ID() uint64 { return a.spec.ID }

// Partition returns the partition answered for.
func (a SubAnswer) Partition() PartitionID { return a.spec.Partition }

// Target returns the target that was asked.
func (a SubAnswer) Target() TargetID { return a.spec.Target }

// Snapshot returns the snapshot that the target says it answered from.
func (a SubAnswer) Snapshot() SnapshotID { return a.spec.Snapshot }

// Outcome returns whether the sub-request ran.
func (a SubAnswer) Outcome() Outcome { return a.spec.Outcome }

// Reason returns why there is no body.
func (a SubAnswer) Reason() Reason { return a.spec.Reason }

// After returns when to come back; zero means no advice.
func (a SubAnswer) After() time.Duration { return a.spec.After }

// Body returns what the target answered.
func (a SubAnswer) Body() []byte { return a.spec.Body }

// Load returns the owner's report of the target.
func (a SubAnswer) Load() Load { return a.spec.Load }
