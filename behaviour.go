package magnoliashore

import (
	"context"
	"time"
)

// Duty is one of the things that a process does as long as it lives.
type Duty interface {
	// String says what the duty does, in lower case.
	String() string
	// Run does it until ctx ends.
	Run(ctx context.Context) error
}

// Clock tells the time. The package timer has the real one.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
}

// Platform is the users' configuration service and host list. It can only be
// read and watched. Every call counts against a shared budget.
type Platform interface {
	// Read returns the newest value of key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the first value of key with a version above after, or an
	// error when ctx ends first.
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

// Candidate is one replica that could serve a sub-request, with what is known
// of its load.
type Candidate struct {
	Target TargetID
	Owner  HostID
	Zone   ZoneName
	Load   Load
	Known  bool // a load report has arrived within its lifetime
	Sent   int  // sub-requests of this process to the target not yet answered
}

// Chooser picks the replica that a sub-request is sent to.
type Chooser interface {
	// Choose returns the index of the candidate to ask. candidates has at
	// least one element.
	Choose(candidates []Candidate) int
}

// Hedger decides when a slow sub-request is sent to a second replica.
type Hedger interface {
	// Sent counts first sub-requests, which earn the budget.
	Sent(n int)
	// Observe records how long a first sub-request of a service took.
	Observe(service ServiceName, latency time.Duration)
	// Delay returns how long to wait for the first answer before hedging;
	// false means that too little is known or hedging is off.
	Delay(service ServiceName) (time.Duration, bool)
	// Take spends one extra sub-request from the budget, or returns false.
	Take() bool
}

// Job is one sub-request that waits for a slot of a target.
type Job struct {
	ID       uint64 // unique in its queue
	Class    Class
	Service  ServiceName
	Weight   int // share of the service inside its class
	Deadline time.Time
	Arrived  time.Time
}

// Refusal says why a job was not queued and when to come back.
type Refusal struct {
	Reason Reason
	After  time.Duration
}

// Queue orders the jobs that wait for one target.
type Queue interface {
	// Offer queues the job or refuses it at once. limit is how many jobs the
	// target runs at once now, and busy how many it is running.
	Offer(now time.Time, job Job, limit, busy int) (Refusal, bool)
	// Next removes and returns the job to run next.
	Next(now time.Time) (Job, bool)
	// Expired removes and returns the jobs that can no longer be answered in
	// time.
	Expired(now time.Time) []Job
	// Remove takes a job out; false means that it is not queued.
	Remove(id uint64) bool
	// Ran records how long a job took on the target, to estimate waits.
	Ran(took time.Duration)
	// Len returns the number of queued jobs.
	Len() int
}

// Evidence is what one finished exchange with a target says of its warmth.
type Evidence struct {
	Took        time.Duration
	Healthy     bool   // a valid reply arrived
	Shed        bool   // the target refused for load
	Cold        bool   // the target itself says that it is cold
	Incarnation string // process of the target, as it states it; empty if it does not
}

// Warmth is the belief about one target: how much work it bears now.
type Warmth interface {
	// Connected records that a connection to the target stands.
	Connected(now time.Time)
	// Lost records that a connection broke or that none stands any more.
	Lost(now time.Time)
	// Observe records the outcome of one exchange.
	Observe(now time.Time, evidence Evidence)
	// Limit returns how many requests may run at once now.
	Limit(now time.Time) int
	// Cold reports whether the belief in warmth does not stand now, so that
	// work needs a lease.
	Cold(now time.Time) bool
}

// Ownership says which entry host may send work to a target, and how much.
// A lease-based and a static-share implementation exist.
type Ownership interface {
	// Owner returns the host that roots should send sub-requests to.
	Owner(target TargetID) (HostID, bool)
	// Standbys returns the hosts to ask when the owner cannot be reached.
	Standbys(target TargetID) []HostID
	// Until returns the end of this host's exclusive right to send cold work
	// to the target; false means that it has none.
	Until(now time.Time, target TargetID) (time.Time, bool)
	// Share returns how many of limit this host may use for a target.
	Share(now time.Time, target TargetID, limit int) int
}

// Permit says under which conditions a sub-request may be written to its
// target.
type Permit struct {
	// NotAfter is the last moment at which a byte may be written; zero means
	// the sub's deadline.
	NotAfter time.Time
	// Standing demands a connection that stood before the call, unless the
	// host holds a lease on the target until Lease. A host that only believes
	// the target to be warm has no right to more: a new connection may reach
	// a new, cold process of the target.
	Standing bool
	Lease    time.Time
	// Era is how many breaks of the target's connections the host knew of when
	// it believed the target to be warm. With Standing, a connection that was
	// opened after a later break is not used.
	Era uint64
}

// Sender runs sub-requests on targets.
type Sender interface {
	// Send runs sub on the target and returns its final answer with the
	// evidence it gave.
	Send(ctx context.Context, sub Sub, target Target, permit Permit) (SubAnswer, Evidence)
}

// Events takes the events of one process for its time line.
type Events interface {
	// Emit records an event; it never blocks.
	Emit(event Event)
}
