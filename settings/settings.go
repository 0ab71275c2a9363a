// Package settings defines the settings of one entry host and provides their
// YAML format, defaults and validation.
package settings

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// The values of Policy.Owner.
const (
	OwnerLease  = "lease"
	OwnerStatic = "static"
)

// The values of Policy.Choose.
const (
	ChooseLeast  = "least"
	ChooseRandom = "random"
)

// The values of Policy.Queue.
const (
	QueueFair = "fair"
	QueueFIFO = "fifo"
)

// The values of Policy.Hedge.
const (
	HedgeAdaptive = "learnt"
	HedgeOff      = "off"
)

// The values of Policy.Throttle.
const (
	ThrottleAdaptive = "adaptive"
	ThrottleOff      = "off"
)

// Settings are the settings of one entry host.
type Settings struct {
	Host     magnoliashore.HostID   // name of the host's seat in the layout
	Zone     magnoliashore.ZoneName // availability zone of the host
	Cell     string                 // cell that the seat belongs to
	Caller   string                 // address that callers connect to, "ip:port"
	Peer     string                 // address that other entry hosts connect to, "ip:port"
	Operator string                 // address of the admin pages, "ip:port"
	Platform string                 // address of the configuration service and host list, "ip:port"
	Seeds    string                 // peer addresses of other entry hosts, separated by spaces, to contact before the layout is known
	Log      string                 // minimum level of log records
	Lease    Lease
	Policy   Policy
	Limits   Limits
	Config   Config
	Warm     Warm
}

// Lease holds the timing of heartbeats and leases.
type Lease struct {
	Heartbeat time.Duration // interval between heartbeats to a peer
	Term      time.Duration // duration of a lease
	Margin    time.Duration // allowance for clock drift
}

// Policy selects the implementation of each configurable behaviour.
type Policy struct {
	Owner    string  // "lease" or "static"
	Choose   string  // "least" or "random"
	Queue    string  // "fair" or "fifo"
	Hedge    string  // "learnt" or "off"
	Throttle string  // "adaptive" or "off"
	Extra    float64 // hedges and retries allowed per first sub-request, 0 to 0.2
	Quantile float64 // latency quantile after which a sub-request is hedged
}

// Limits bounds the resources of one entry host.
type Limits struct {
	Body    int           // maximum size of a query in bytes
	Queries int           // maximum number of queries in flight
	Ring    int           // capacity of each queue between background tasks
	Keep    time.Duration // how long callers may cache the addresses of entry hosts
	Drain   time.Duration // maximum time that a leaving host keeps serving
	Ledger  int           // maximum number of idempotency tickets kept
	Epoch   time.Duration // length of a ticket epoch
}

// Config holds the timing of configuration reads.
type Config struct {
	Poll  time.Duration // interval between reads of the host list
	Quiet time.Duration // how long the cell's reader may be silent before the next host takes over
	Watch time.Duration // maximum time of one long poll of the platform
}

// Warm configures when a target counts as warm and how its concurrency limit
// rises.
type Warm struct {
	Fresh time.Duration // how long evidence that a target is warm remains valid
	Jump  float64       // increase in latency, as a factor, that makes a target cold
	Sheds int           // consecutive refusals that make a target cold
	Steps int           // healthy replies before the limit of a target rises by one
}
