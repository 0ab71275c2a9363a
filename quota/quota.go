// Package quota divides the request rate that a target takes from all hosts
// together among them, by demand. For each target one host, the issuer, leases
// shares of the rate to the others. A Holder keeps the leases of one host and
// admits its requests; an Issuer decides on the leases of the targets that a host
// is the issuer of. Neither reads a clock or does I/O.
package quota

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	// Share of a rate that the issuer leases. The rest covers requests that are
	// delayed and arrive together.
	leasedShare = 0.9
	// Share of a rate that all hosts without a lease use together, in equal parts.
	unleasedShare = 0.5
	// Least time between two reports of a host on a target.
	minReportInterval = 500 * time.Millisecond
	// Time between two reports for each host that shares the rates, so that an
	// issuer receives a bounded number of them.
	reportIntervalPerHost = 10 * time.Millisecond
	// Reports for which a lease lasts, since datagrams may be lost.
	reportsPerTerm = 4
	// Most targets in the reports of one interval. Shares of further targets stay
	// equal. At about 50 bytes a report and a grant, this keeps both below 4 KB/s.
	maxReports = 16
)

// Report tells the issuer of a target what a host needs.
type Report struct {
	Target magnoliashore.TargetID
	Rate   float64       // requests per second that the target takes
	Demand float64       // requests per second that the host would send
	Share  float64       // requests per second of the host's lease; zero without one
	Left   time.Duration // time until that lease ends
}

// Grant leases a share of a target's rate to a host.
type Grant struct {
	Target magnoliashore.TargetID
	Share  float64 // requests per second
	Term   time.Duration
}

// Sharing describes the hosts that share the rates.
type Sharing struct {
	Hosts   int // running hosts and those that were lost a short time ago
	Running int
	Stable  time.Duration // time since a host joined, left or was lost
}

// Interval returns the time between two reports on a target.
func (s Sharing) Interval() time.Duration {
	return max(minReportInterval, time.Duration(s.Hosts)*reportIntervalPerHost)
}

// term returns how long a lease lasts.
func (s Sharing) term() time.Duration { return reportsPerTerm * s.Interval() }

// unleased returns the share of a host without a lease.
func (s Sharing) unleased(rate float64) float64 {
	return unleasedShare * rate / float64(max(s.Hosts, 1))
}

// leasable returns the part of a rate that the issuer leases. It leaves the parts
// of hosts that were lost, which may run on the other side of a partition.
func (s Sharing) leasable(rate float64) float64 {
	return leasedShare * rate * float64(max(s.Running, 1)) / float64(max(s.Hosts, s.Running, 1))
}
