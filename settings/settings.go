// Package settings provides the settings of one entry host: their type, their
// YAML codec, their defaults and their checks.
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
	HedgeLearnt = "learnt"
	HedgeOff    = "off"
)

// The values of Policy.Throttle.
const (
	ThrottleAdaptive = "adaptive"
	ThrottleOff      = "off"
)

// Settings are the settings of one entry host.
type Settings struct {
	Host     magnoliashore.HostID   // seat that the host takes
	Zone     magnoliashore.ZoneName // availability zone of the host
	Cell     string                 // cell that the seat belongs to
	Caller   string                 // address towards callers, "ip:port"
	Peer     string                 // address towards other entry hosts, "ip:port"
	Operator string                 // address of the admin pages, "ip:port"
	Platform string                 // address of the platform, "ip:port"
	Seeds    string                 // addresses of other entry hosts, joined by spaces, asked at the start
	Log      string                 // lowest level that is logged
	Lease    Lease
	Policy   Policy
	Limits   Limits
	Config   Config
	Warm     Warm
}

// Lease holds the times of heartbeats and leases.
type Lease struct {
	Heartbeat time.Duration // time between heartbeats to a peer
	Term      time.Duration // how long a lease runs
	Margin    time.Duration // allowance for the drift of clocks
}

// Policy selects an implementation of each behaviour that varies.
type Policy struct {
	Owner    string  // "lease" or "static"
	Choose   string  // "least" or "random"
	Queue    string  // "fair" or "fifo"
	Hedge    string  // "learnt" or "off"
	Throttle string  // "adaptive" or "off"
	Extra    float64 // share of extra sub-requests, 0 to 0.2
	Quantile float64 // quantile of latency after which to hedge
}

// Limits bounds what one entry host holds.
type Limits struct {
	Body    int           // bytes of a query
	Queries int           // queries that run at once
	Ring    int           // entries of a ring between duties
	Keep    time.Duration // how long callers may use an answer with addresses
	Drain   time.Duration // how long a leaving host stays at most
	Ledger  int           // tickets kept
	Epoch   time.Duration // length of a ticket epoch
}

// Config holds the times of reading the configuration.
type Config struct {
	Poll  time.Duration // time between reads of the list of hosts
	Quiet time.Duration // silence of the cell's reader before a host reads itself
	Watch time.Duration // longest wait of one watch
}

// Warm sets when a target counts as warm and how its limit rises.
type Warm struct {
	Fresh time.Duration // how long evidence of warmth counts
	Jump  float64       // factor of latency that makes a target cold
	Sheds int           // refusals in a row that make a target cold
	Steps int           // steps from the cold limit to all slots
}
