package magnoliashore

import "time"

// Ticket is an idempotency key: it permits one run of a non-idempotent query
// by one incarnation of one entry host. The zero Ticket means none.
type Ticket struct {
	host        HostID
	incarnation Incarnation
	epoch       Epoch
	id          string
}

// NewTicket returns a ticket; id is a random, unique string of at most 64
// bytes.
func NewTicket(host HostID, incarnation Incarnation, epoch Epoch, id string) Ticket {
	return Ticket{host: host, incarnation: incarnation, epoch: epoch, id: id}
}

// Host returns the only seat that may run the query.
func (t Ticket) Host() HostID { return t.host }

// Incarnation returns the only incarnation at the seat that may run the query.
func (t Ticket) Incarnation() Incarnation { return t.incarnation }

// Epoch returns the incarnation's epoch at which the ticket was made.
func (t Ticket) Epoch() Epoch { return t.epoch }

// ID returns the random ID.
func (t Ticket) ID() string { return t.id }

// IsZero reports whether there is no ticket.
func (t Ticket) IsZero() bool { return t == Ticket{} }

// Merge defines how partial results are combined into an answer.
type Merge struct{ topK int }

// MergeAll returns a merge that keeps every partial result unchanged.
func MergeAll() Merge { return Merge{} }

// MergeBest returns a merge that keeps the n items with the highest scores.
func MergeBest(n int) Merge { return Merge{topK: n} }

// Best returns the number of items to keep; zero means every partial result.
func (m Merge) Best() int { return m.topK }

// QuerySpec holds the fields to build a Query from.
type QuerySpec struct {
	ID       QueryID
	Group    GroupName
	Services []ServiceName // empty means every service of the group
	Body     []byte
	Deadline time.Time // by the clock of this process
	Once     bool      // whether to run the query at most once, as it is not idempotent
	Ticket   Ticket
	Merge    Merge
}

// Query is a caller's request.
type Query struct{ spec QuerySpec }

// NewQuery returns the query that spec describes.
func NewQuery(spec QuerySpec) Query { return Query{spec: spec} }

// ID returns the query's ID.
func (q Query) ID() QueryID { return q.spec.ID }

// WithID returns a copy of the query with the given ID.
func (q Query) WithID(id QueryID) Query {
	q.spec.ID = id
	return q
}

// WithDeadline returns a copy of the query with the given deadline.
func (q Query) WithDeadline(deadline time.Time) Query {
	q.spec.Deadline = deadline
	return q
}

// Group returns the group that the query addresses.
func (q Query) Group() GroupName { return q.spec.Group }

// Services returns the services to query; empty means every service of the
// group.
func (q Query) Services() []ServiceName { return q.spec.Services }

// Body returns the body for each target. The caller must not change it.
func (q Query) Body() []byte { return q.spec.Body }

// Deadline returns the deadline for the answer, by the clock of this process.
func (q Query) Deadline() time.Time { return q.spec.Deadline }

// Once reports whether the query must run at most once.
func (q Query) Once() bool { return q.spec.Once }

// Ticket returns the query's ticket, zero if it has none.
func (q Query) Ticket() Ticket { return q.spec.Ticket }

// Merge returns how partial results are combined.
func (q Query) Merge() Merge { return q.spec.Merge }

// SubSpec holds the fields to build a Sub from.
type SubSpec struct {
	ID        uint64 // unique within the sending process
	Query     QueryID
	Partition PartitionID
	Target    TargetID
	Snapshot  SnapshotID
	Deadline  time.Time // by the clock of this process
	Once      bool      // whether the sub-request must run at most once
	Body      []byte
}

// Sub is a sub-request: the query of one partition, sent to one target.
type Sub struct{ spec SubSpec }

// NewSub returns the sub-request that spec describes.
func NewSub(spec SubSpec) Sub { return Sub{spec: spec} }

// ID returns the number that matches an answer to its sub-request.
func (s Sub) ID() uint64 { return s.spec.ID }

// Query returns the ID of the query that the sub-request belongs to.
func (s Sub) Query() QueryID { return s.spec.Query }

// Partition returns the partition to query.
func (s Sub) Partition() PartitionID { return s.spec.Partition }

// Target returns the target to send to.
func (s Sub) Target() TargetID { return s.spec.Target }

// Snapshot returns the snapshot that the target must read.
func (s Sub) Snapshot() SnapshotID { return s.spec.Snapshot }

// Deadline returns the deadline for the answer, by the clock of this process.
func (s Sub) Deadline() time.Time { return s.spec.Deadline }

// WithDeadline returns a copy of the sub-request with the given deadline.
func (s Sub) WithDeadline(deadline time.Time) Sub {
	s.spec.Deadline = deadline
	return s
}

// Once reports whether the sub-request must run at most once, so that it is
// never sent twice.
func (s Sub) Once() bool { return s.spec.Once }

// Body returns the body for the target.
func (s Sub) Body() []byte { return s.spec.Body }

// Load is the state of a target that its owner reports with each answer. It is
// a hint.
type Load struct {
	queue   int
	busy    int
	limit   int
	cold    bool
	latency time.Duration
}

// NewLoad returns a load report: the numbers of waiting and running requests,
// the concurrency limit, whether the target is cold, and its recent latency.
func NewLoad(queue, busy, limit int, cold bool, latency time.Duration) Load {
	return Load{queue: queue, busy: busy, limit: limit, cold: cold, latency: latency}
}

// Queue returns the number of waiting requests.
func (l Load) Queue() int { return l.queue }

// Busy returns the number of running requests.
func (l Load) Busy() int { return l.busy }

// Limit returns the target's concurrency limit.
func (l Load) Limit() int { return l.limit }

// Cold reports whether the owner assumes the target to be cold.
func (l Load) Cold() bool { return l.cold }

// Latency returns the target's recent latency.
func (l Load) Latency() time.Duration { return l.latency }

// SubAnswerSpec holds the fields to build a SubAnswer from.
type SubAnswerSpec struct {
	ID         uint64
	Partition  PartitionID
	Target     TargetID
	Snapshot   SnapshotID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // with OutcomeNotRun, how long to wait before a retry
	Body       []byte
	Load       Load
}

// SubAnswer is the final answer to one sub-request.
type SubAnswer struct{ spec SubAnswerSpec }

// NewSubAnswer returns the answer that spec describes.
func NewSubAnswer(spec SubAnswerSpec) SubAnswer { return SubAnswer{spec: spec} }

// Refuse returns the answer that sub did not run because of reason and may be
// retried after retryAfter.
func Refuse(sub Sub, reason Reason, retryAfter time.Duration) SubAnswer {
	return NewSubAnswer(SubAnswerSpec{
		ID: sub.ID(), Partition: sub.Partition(), Target: sub.Target(), Snapshot: sub.Snapshot(),
		Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter,
	})
}

// Lose returns the answer that the outcome of sub is unknown because of reason.
func Lose(sub Sub, reason Reason) SubAnswer {
	return NewSubAnswer(SubAnswerSpec{
		ID: sub.ID(), Partition: sub.Partition(), Target: sub.Target(), Snapshot: sub.Snapshot(),
		Outcome: OutcomeUnknown, Reason: reason,
	})
}

// WithLoad returns a copy of the answer with a load report.
func (a SubAnswer) WithLoad(load Load) SubAnswer {
	a.spec.Load = load
	return a
}

// ID returns the ID of the answered sub-request.
func (a SubAnswer) ID() uint64 { return a.spec.ID }

// Partition returns the partition that was queried.
func (a SubAnswer) Partition() PartitionID { return a.spec.Partition }

// Target returns the target that the sub-request was for.
func (a SubAnswer) Target() TargetID { return a.spec.Target }

// Snapshot returns the snapshot that the target reported to have read.
func (a SubAnswer) Snapshot() SnapshotID { return a.spec.Snapshot }

// Outcome returns whether the sub-request ran.
func (a SubAnswer) Outcome() Outcome { return a.spec.Outcome }

// Reason returns why there is no body.
func (a SubAnswer) Reason() Reason { return a.spec.Reason }

// RetryAfter returns how long to wait before a retry; zero means unspecified.
func (a SubAnswer) RetryAfter() time.Duration { return a.spec.RetryAfter }

// Body returns the body of the target's answer.
func (a SubAnswer) Body() []byte { return a.spec.Body }

// Load returns the owner's load report for the target.
func (a SubAnswer) Load() Load { return a.spec.Load }
