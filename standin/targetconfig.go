package standin

import (
	"slices"
	"time"
)

// TargetConfig configures a Target.
type TargetConfig struct {
	ID      string
	Zone    string
	Service string
	// Address is the "ip:port" address to listen on; empty means a free port
	// of 127.0.0.1.
	Address string
	// Slots is the maximum number of running requests; at least 1.
	Slots int
	// ColdSlots is the maximum number of running requests while the target is
	// cold; at least 1. One more crashes the target.
	ColdSlots int
	// MaxConns is the maximum number of open connections; zero means no limit.
	MaxConns int
	// ConnDelay delays the first reply on a new connection.
	ConnDelay time.Duration
	// Latency is the median service time of a warm target.
	Latency time.Duration
	// StragglerProbability is the probability, 0 to 1, that a request takes
	// StragglerLatency instead of a time around Latency.
	StragglerProbability float64
	StragglerLatency     time.Duration
	// WarmAfter is the number of completed requests after which a cold target is
	// warm; zero means that the target starts warm.
	WarmAfter int
	// Seed seeds the random service times.
	Seed uint64
	// Snapshots are the snapshots that the target serves; empty means 1.
	Snapshots []uint64
	// Partitions are the partitions that the target serves; empty means any.
	Partitions []string
	// MaxWaiting is the maximum number of requests that wait for a slot;
	// further ones are refused.
	MaxWaiting int
	// LedgerSize is the number of ledger entries that are kept; zero means
	// 262,144.
	LedgerSize int
}

const defaultLedgerSize = 1 << 18

// withDefaults returns a copy with defaults for the fields that are not set.
func (c TargetConfig) withDefaults() TargetConfig {
	c.Slots = max(c.Slots, 1)
	c.ColdSlots = max(c.ColdSlots, 1)
	c.MaxWaiting = max(c.MaxWaiting, 0)
	if c.LedgerSize <= 0 {
		c.LedgerSize = defaultLedgerSize
	}
	if len(c.Snapshots) == 0 {
		c.Snapshots = []uint64{1}
	}
	c.Snapshots = slices.Clone(c.Snapshots)
	c.Partitions = slices.Clone(c.Partitions)
	return c
}
