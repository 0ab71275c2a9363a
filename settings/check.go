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

// Bounds of the settings.
const (
	maxNameBytes      = 64
	maxPort           = 65535
	minDuration       = 10 * time.Millisecond
	minMargin         = time.Millisecond
	maxHeartbeat      = 10 * time.Second
	maxTerm           = time.Minute
	maxKeep           = time.Minute
	maxDrain          = 10 * time.Minute
	minEpoch          = 100 * time.Millisecond
	maxEpoch          = time.Hour
	maxConfigInterval = time.Minute
	maxWarmFresh      = 10 * time.Minute
	maxBodyBytes      = 1 << 20
	maxQueries        = 1 << 20
	maxRingSize       = 1 << 20
	maxLedgerTickets  = 1 << 24
	maxWarmSheds      = 1000
	maxWarmSteps      = 64
	maxExtraShare     = 0.2
	minQuantile       = 0.5
	maxQuantile       = 0.999
	minWarmJump       = 1.1
	maxWarmJump       = 1000
)

// Check validates the range of every setting and the constraints between
// settings. The error joins all violations.
func (s Settings) Check() error {
	c := &checker{}
	c.host(s)
	c.lease(s.Lease)
	c.policy(s.Policy)
	c.limits(s.Limits)
	c.config(s)
	c.warm(s.Warm)
	return magnoliashore.Step(errors.Join(c.errs...), "check settings", "")
}

// checker collects the violations that Check finds.
type checker struct {
	errs []error
}

func (c *checker) addError(name, format string, args ...any) {
	c.errs = append(c.errs, errors.Wrap(errors.Newf(format, args...), name))
}

func (c *checker) host(s Settings) {
	c.name("host", string(s.Host))
	c.name("zone", string(s.Zone))
	c.name("cell", s.Cell)
	c.address("caller", s.Caller)
	c.address("peer", s.Peer)
	c.address("operator", s.Operator)
	c.address("platform", s.Platform)
	for _, seed := range strings.Fields(s.Seeds) {
		c.address("seeds", seed)
	}
	c.distinct("caller", s.Caller, "peer", s.Peer)
	c.distinct("caller", s.Caller, "operator", s.Operator)
	c.distinct("peer", s.Peer, "operator", s.Operator)
	c.oneOf("log", s.Log, "debug", "info", "warn", "error", "fatal")
}

func (c *checker) lease(l Lease) {
	c.duration("lease.heartbeat", l.Heartbeat, minDuration, maxHeartbeat)
	c.duration("lease.term", l.Term, minDuration, maxTerm)
	c.duration("lease.margin", l.Margin, minMargin, maxTerm)
	if l.Heartbeat >= l.Term/3 {
		c.addError("lease.heartbeat", "%v is too long; it must be less than a third of lease.term, %v", l.Heartbeat, l.Term)
	}
	if l.Margin >= l.Term/2 {
		c.addError("lease.margin", "%v is too long; it must be less than half of lease.term, %v", l.Margin, l.Term)
	}
}

func (c *checker) policy(p Policy) {
	c.oneOf("policy.owner", p.Owner, OwnerLease, OwnerStatic)
	c.oneOf("policy.choose", p.Choose, ChooseLeast, ChooseRandom)
	c.oneOf("policy.queue", p.Queue, QueueFair, QueueFIFO)
	c.oneOf("policy.hedge", p.Hedge, HedgeAdaptive, HedgeOff)
	c.oneOf("policy.throttle", p.Throttle, ThrottleAdaptive, ThrottleOff)
	c.number("policy.extra", p.Extra, 0, maxExtraShare)
	c.number("policy.quantile", p.Quantile, minQuantile, maxQuantile)
}

func (c *checker) limits(l Limits) {
	c.count("limits.body", l.Body, maxBodyBytes)
	c.count("limits.queries", l.Queries, maxQueries)
	c.count("limits.ring", l.Ring, maxRingSize)
	c.count("limits.ledger", l.Ledger, maxLedgerTickets)
	c.duration("limits.keep", l.Keep, minDuration, maxKeep)
	c.duration("limits.drain", l.Drain, minDuration, maxDrain)
	c.duration("limits.epoch", l.Epoch, minEpoch, maxEpoch)
	if l.Drain < l.Keep {
		c.addError("limits.drain", "%v is too short; it must be at least limits.keep, %v", l.Drain, l.Keep)
	}
}

func (c *checker) config(s Settings) {
	c.duration("config.poll", s.Config.Poll, minDuration, maxConfigInterval)
	c.duration("config.quiet", s.Config.Quiet, minDuration, maxConfigInterval)
	c.duration("config.watch", s.Config.Watch, minDuration, maxConfigInterval)
	if s.Config.Quiet <= s.Lease.Heartbeat {
		c.addError("config.quiet", "%v is too short; it must be more than lease.heartbeat, %v", s.Config.Quiet, s.Lease.Heartbeat)
	}
}

func (c *checker) warm(w Warm) {
	c.duration("warm.fresh", w.Fresh, minDuration, maxWarmFresh)
	c.number("warm.jump", w.Jump, minWarmJump, maxWarmJump)
	c.count("warm.sheds", w.Sheds, maxWarmSheds)
	c.count("warm.steps", w.Steps, maxWarmSteps)
}

func (c *checker) name(name, value string) {
	if value == "" || len(value) > maxNameBytes || strings.ContainsFunc(value, notNameRune) {
		c.addError(name, "%q is not a valid name; allowed are 1 to %d letters, digits, '-', '_' and '.'", value, maxNameBytes)
	}
}

func notNameRune(r rune) bool {
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
		c.addError(name, "%q is not a valid address; it must have the form ip:port with a port from 0 to %d", value, maxPort)
	}
}

func (c *checker) distinct(name, value, otherName, otherValue string) {
	if value != "" && value == otherValue && !strings.HasSuffix(value, ":0") {
		c.addError(name, "%q is also the address of %s; each needs its own", value, otherName)
	}
}

func (c *checker) oneOf(name, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addError(name, "%q is not allowed; allowed are %s", value, strings.Join(allowed, ", "))
	}
}

func (c *checker) duration(name string, value, low, high time.Duration) {
	if value < low || value > high {
		c.addError(name, "%v is out of range; allowed are %v to %v", value, low, high)
	}
}

func (c *checker) count(name string, value, high int) {
	if value < 1 || value > high {
		c.addError(name, "%d is out of range; allowed are 1 to %d", value, high)
	}
}

func (c *checker) number(name string, value, low, high float64) {
	if !(value >= low && value <= high) { // NaN fails too
		c.addError(name, "%g is out of range; allowed are %g to %g", value, low, high)
	}
}
