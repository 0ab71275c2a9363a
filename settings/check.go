package settings

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// The ranges of the settings.
const (
	maxName      = 64 // bytes
	maxPort      = 65535
	minTime      = 10 * time.Millisecond
	minMargin    = time.Millisecond
	maxHeartbeat = 10 * time.Second
	maxTerm      = time.Minute
	maxKeep      = time.Minute
	maxDrain     = 10 * time.Minute
	minEpoch     = 100 * time.Millisecond
	maxEpoch     = time.Hour
	maxConfig    = time.Minute
	maxFresh     = 10 * time.Minute
	maxBody      = 1 << 20 // bytes
	maxQueries   = 1 << 20
	maxRing      = 1 << 20
	maxLedger    = 1 << 24
	maxSheds     = 1000
	maxSteps     = 64
	maxExtra     = 0.2
	minQuantile  = 0.5
	maxQuantile  = 0.999
	minJump      = 1.1
	maxJump      = 1000
)

// Check checks every range and the relations between settings. The error
// joins every fault.
func (s Settings) Check() error {
	c := &checker{}
	c.host(s)
	c.lease(s.Lease)
	c.policy(s.Policy)
	c.limits(s.Limits)
	c.config(s)
	c.warm(s.Warm)
	return magnoliashore.Step(errors.Join(c.faults...), "check settings", "")
}

// checker collects the faults of settings.
type checker struct {
	faults []error
}

func (c *checker) fail(name, format string, args ...any) {
	c.faults = append(c.faults, errors.Wrap(errors.Newf(format, args...), name))
}

func (c *checker) host(s Settings) {
	c.word("host", string(s.Host))
	c.word("zone", string(s.Zone))
	c.word("cell", s.Cell)
	c.address("caller", s.Caller)
	c.address("peer", s.Peer)
	c.address("operator", s.Operator)
	c.address("platform", s.Platform)
	for _, seed := range strings.Fields(s.Seeds) {
		c.address("seeds", seed)
	}
	c.different("caller", s.Caller, "peer", s.Peer)
	c.different("caller", s.Caller, "operator", s.Operator)
	c.different("peer", s.Peer, "operator", s.Operator)
	c.oneOf("log", s.Log, "debug", "info", "warn", "error", "fatal")
}

func (c *checker) lease(l Lease) {
	c.time("lease.heartbeat", l.Heartbeat, minTime, maxHeartbeat)
	c.time("lease.term", l.Term, minTime, maxTerm)
	c.time("lease.margin", l.Margin, minMargin, maxTerm)
	if l.Heartbeat >= l.Term/3 {
		c.fail("lease.heartbeat", "%v is too long; allowed is less than a third of lease.term, %v", l.Heartbeat, l.Term)
	}
	if l.Margin >= l.Term/2 {
		c.fail("lease.margin", "%v is too long; allowed is less than half of lease.term, %v", l.Margin, l.Term)
	}
}

func (c *checker) policy(p Policy) {
	c.oneOf("policy.owner", p.Owner, OwnerLease, OwnerStatic)
	c.oneOf("policy.choose", p.Choose, ChooseLeast, ChooseRandom)
	c.oneOf("policy.queue", p.Queue, QueueFair, QueueFIFO)
	c.oneOf("policy.hedge", p.Hedge, HedgeLearnt, HedgeOff)
	c.oneOf("policy.throttle", p.Throttle, ThrottleAdaptive, ThrottleOff)
	c.number("policy.extra", p.Extra, 0, maxExtra)
	c.number("policy.quantile", p.Quantile, minQuantile, maxQuantile)
}

func (c *checker) limits(l Limits) {
	c.count("limits.body", l.Body, maxBody)
	c.count("limits.queries", l.Queries, maxQueries)
	c.count("limits.ring", l.Ring, maxRing)
	c.count("limits.ledger", l.Ledger, maxLedger)
	c.time("limits.keep", l.Keep, minTime, maxKeep)
	c.time("limits.drain", l.Drain, minTime, maxDrain)
	c.time("limits.epoch", l.Epoch, minEpoch, maxEpoch)
	if l.Drain < l.Keep {
		c.fail("limits.drain", "%v is too short; allowed is at least limits.keep, %v", l.Drain, l.Keep)
	}
}

func (c *checker) config(s Settings) {
	c.time("config.poll", s.Config.Poll, minTime, maxConfig)
	c.time("config.quiet", s.Config.Quiet, minTime, maxConfig)
	c.time("config.watch", s.Config.Watch, minTime, maxConfig)
	if s.Config.Quiet <= s.Lease.Heartbeat {
		c.fail("config.quiet", "%v is too short; allowed is more than lease.heartbeat, %v", s.Config.Quiet, s.Lease.Heartbeat)
	}
}

func (c *checker) warm(w Warm) {
	c.time("warm.fresh", w.Fresh, minTime, maxFresh)
	c.number("warm.jump", w.Jump, minJump, maxJump)
	c.count("warm.sheds", w.Sheds, maxSheds)
	c.count("warm.steps", w.Steps, maxSteps)
}

func (c *checker) word(name, value string) {
	if value == "" || len(value) > maxName || strings.ContainsFunc(value, notWord) {
		c.fail(name, "%q is no name; allowed are 1 to %d letters, digits, '-', '_' and '.'", value, maxName)
	}
}

func notWord(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return r != '-' && r != '_' && r != '.'
	}
}

func (c *checker) address(name, value string) {
	host, port, err := net.SplitHostPort(value)
	n, numErr := strconv.Atoi(port)
	if err != nil || numErr != nil || host == "" || n < 0 || n > maxPort {
		c.fail(name, "%q is no address; allowed is ip:port with a port of 0 to %d", value, maxPort)
	}
}

func (c *checker) different(name, value, other, otherValue string) {
	if value != "" && value == otherValue && !strings.HasSuffix(value, ":0") {
		c.fail(name, "%q is the address of %s too; each needs its own", value, other)
	}
}

func (c *checker) oneOf(name, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fail(name, "%q is not allowed; allowed are %s", value, strings.Join(allowed, ", "))
	}
}

func (c *checker) time(name string, value, low, high time.Duration) {
	if value < low || value > high {
		c.fail(name, "%v is out of range; allowed is %v to %v", value, low, high)
	}
}

func (c *checker) count(name string, value, high int) {
	if value < 1 || value > high {
		c.fail(name, "%d is out of range; allowed is 1 to %d", value, high)
	}
}

func (c *checker) number(name string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.fail(name, "%g is out of range; allowed is %g to %g", value, low, high)
	}
}
