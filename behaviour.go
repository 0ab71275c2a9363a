package magnoliashore

import (
	"context"
	"time"
)

// Duty is a task that runs for the whole life of a process.
type Duty interface {
	// String returns a description of the task in lower case.
	String() string
	// Run runs the task until ctx ends.
	Run(ctx context.Context) error
}

// Clock provides the current time. timer.Service implements it.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
}

// Platform is read-only access to the users' configuration service and host
// list. Every call counts against a shared budget.
type Platform interface {
	// Read returns the newest value of key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits for a value of key with a version above after and returns it.
	// It returns an error if ctx ends first.
	Watch(ctx context.Context, key string, after Version) (Value, error)
	// Hosts returns the list of live and leaving hosts.
	Hosts(ctx context.Context) (HostList, error)
}

// Value is one published value of a configuration key, at most 1 MB.
type Value struct {
	key     string
	version Version
	data    []byte
}

// NewValue returns a published value.
func NewValue(key string, version Version, data []byte) Value {
	return Value{key: key, version: version, data: data}
}

// Key returns the configuration key.
func (v Value) Key() string { return v.key }

// Version returns the version of the value.
func (v Value) Version() Version { return v.version }

// Data returns the bytes as published. The caller must not change them.
func (v Value) Data() []byte { return v.data }

// Candidate is a replica that can serve a sub-request, with its last known
// load.
type Candidate struct {
	Target TargetID
	Owner  HostID
	Zone   ZoneName
	Load   Load
	Known  bool // whether Load holds an unexpired report
	Sent   int  // sub-requests in flight from this process to the target
}

// Chooser selects the replica that serves a sub-request.
type Chooser interface {
	// Choose returns the index of the selected candidate. candidates must not
	// be empty.
	Choose(candidates []Candidate) int
}

// Hedger decides when to hedge a slow sub-request, that is, to send it to a
// second replica too. A budget limits these extra attempts.
type Hedger interface {
	// Sent records n first attempts, which add to the budget.
	Sent(n int)
	// Observe records the latency of a first attempt.
	Observe(service ServiceName, latency time.Duration)
	// Delay returns how long to wait for the first attempt before hedging. It
	// returns false if there are too few samples or hedging is off.
	Delay(service ServiceName) (time.Duration, bool)
	// Take takes one extra attempt from the budget. It returns false if the
	// budget is exhausted.
	Take() bool
}

// Job is a sub-request in the queue of a target.
type Job struct {
	ID       uint64 // unique in the queue
	Class    Class
	Service  ServiceName
	Weight   int // weight of the service within its class
	Deadline time.Time
	Arrived  time.Time
}

// Refusal describes why a job was not queued and when to retry it.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Queue orders the waiting jobs of one target.
type Queue interface {
	// Offer queues the job, or returns a refusal and false. limit is the
	// target's current concurrency limit, and busy the number of jobs that it
	// is running.
	Offer(now time.Time, job Job, limit, busy int) (Refusal, bool)
	// Next removes and returns the next job to run; false means that the queue
	// is empty.
	Next(now time.Time) (Job, bool)
	// Expired removes and returns the jobs that can no longer meet their
	// deadlines.
	Expired(now time.Time) []Job
	// Remove removes a job; false means that it is not queued.
	Remove(id uint64) bool
	// ObserveServiceTime records the service time of a job, on which estimates
	// of queueing delay are based.
	ObserveServiceTime(serviceTime time.Duration)
	// Len returns the number of queued jobs.
	Len() int
}

// Evidence holds the signs of a target's warmth from one finished exchange.
type Evidence struct {
	Latency     time.Duration // duration of the exchange
	Healthy     bool          // whether the reply was valid
	Shed        bool          // whether the target refused the request because of load
	Cold        bool          // whether the target reported that it is cold
	Incarnation string        // ID that the target reported for its process, or empty
}

// Warmth estimates how warm one target is, and so how many requests it can run
// at once.
type Warmth interface {
	// Connected records that a connection to the target is open.
	Connected(now time.Time)
	// Lost records that a connection broke or that none is open any more.
	Lost(now time.Time)
	// Observe records the outcome of one exchange.
	Observe(now time.Time, evidence Evidence)
	// Limit returns the current concurrency limit.
	Limit(now time.Time) int
	// Cold reports whether the target is assumed to be cold now, so that work
	// needs a lease.
	Cold(now time.Time) bool
}

// Ownership determines which entry hosts may send work to a target, and how
// much. owner.Leased and owner.Static implement it.
type Ownership interface {
	// Owner returns the host that coordinators send the target's sub-requests
	// to.
	Owner(target TargetID) (HostID, bool)
	// Standbys returns the hosts to use when the owner is unreachable.
	Standbys(target TargetID) []HostID
	// Until returns the end of this host's exclusive right to send work to the
	// target while it is cold; false means that it has no such right.
	Until(now time.Time, target TargetID) (time.Time, bool)
	// Share returns this host's part of limit, the target's concurrency limit.
	Share(now time.Time, target TargetID, limit int) int
}

// Permit holds the conditions for writing a sub-request to its target.
type Permit struct {
	// NotAfter is the deadline for writing; zero means the deadline of the
	// sub-request.
	NotAfter time.Time
	// OpenConnOnly requires a connection that was open before the call, except
	// before LeaseEnd. Without a lease, a host may only send to a process that
	// it assumes to be warm, and a new connection may reach a new, cold process
	// of the target.
	OpenConnOnly bool
	// LeaseEnd is the end of the host's lease on the target; zero means no lease.
	LeaseEnd time.Time
	// ReportedBreaks is the number of broken connections to the target that the
	// host's estimate of its warmth accounts for. With OpenConnOnly, connections
	// opened after a later break are not used.
	ReportedBreaks uint64
}

// Sender sends sub-requests to targets.
type Sender interface {
	// Send sends sub to the target and returns the final answer with the
	// evidence of the target's warmth.
	Send(ctx context.Context, sub Sub, target Target, permit Permit) (SubAnswer, Evidence)
}

// Events records the events of one process.
type Events interface {
	// Emit records an event; it never blocks.
	Emit(event Event)
}
