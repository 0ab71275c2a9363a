package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Limits on the values of an experiment.
const (
	maxHosts      = 9
	maxWarmup     = 30 * time.Second
	minLength     = 500 * time.Millisecond
	maxLength     = time.Minute
	maxRate       = 10_000 // arrivals per second
	maxArrivals   = 200_000
	maxRateFactor = 100
	maxTopK       = 1000
	maxLatency    = 10 * time.Second
)

// converter builds an Experiment from its file format and collects all errors.
type converter struct {
	file *ast.File
	wire wireExperiment
	errs []error
}

// addError records an error of the key at path, such as "groups[0].rate".
func (c *converter) addError(path, format string, args ...any) {
	err := errors.Newf(format, args...)
	c.errs = append(c.errs, errors.Wrapf(err, "line %d: %s", c.line(path), path))
}

// check records an error unless ok is true.
func (c *converter) check(ok bool, path, format string, args ...any) {
	if !ok {
		c.addError(path, format, args...)
	}
}

// line returns the line of the key at path, or of its nearest parent key that
// the file contains.
func (c *converter) line(path string) int {
	for path != "" {
		if node := c.node(path); node != nil {
			return node.GetToken().Position.Line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func (c *converter) node(path string) ast.Node {
	yamlPath, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	node, err := yamlPath.FilterFile(c.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return nil
	}
	return node
}

// duration parses the text of the key at path and checks its range. Empty text
// counts as zero.
func (c *converter) duration(path, text string, low, high time.Duration) time.Duration {
	var d time.Duration
	if text != "" {
		var err error
		d, err = time.ParseDuration(text)
		if err != nil {
			c.addError(path, "%q is not a duration with a unit, such as 400ms or 2s", text)
			return 0
		}
	}
	c.check(d >= low && d <= high, path, "%v is out of range; allowed is %v to %v", d, low, high)
	return d
}

func (c *converter) convert() Experiment {
	w := c.wire
	e := Experiment{
		name: w.Name, seed: w.Seed, embedded: w.Embedded, hosts: w.Hosts, baseline: w.Against,
		warmup: c.duration("warmup", w.Warmup, 0, maxWarmup),
		length: c.duration("length", w.Length, minLength, maxLength),
		remote: remoteAddresses{
			entries: w.Remote.Entries, operators: w.Remote.Operators,
			platform: w.Remote.Platform, admin: w.Remote.Admin, fleet: w.Remote.Fleet,
		},
	}
	c.check(w.Name != "" && !strings.ContainsAny(w.Name, "/ "), "name", "%q is not a valid name; it must not be empty or contain / or spaces", w.Name)
	e.shape = c.shape()
	c.checkSite()
	e.targets = c.targetOverrides()
	e.groups = c.groups(e.shape)
	e.faults = c.timeline(e)
	e.policies = c.policies()
	c.checkVolume(e)
	known := w.Against == "" || slices.Contains(e.Policies(), w.Against)
	c.check(known, "against", "%q is not one of the policies %q", w.Against, e.Policies())
	return e
}

func (c *converter) shape() standin.Shape {
	shape, err := standin.NamedShape(c.wire.Shape.Name, c.wire.Shape.Scale)
	if err != nil {
		c.addError("shape", "%v", err)
	}
	return shape
}

// checkSite checks the settings of the system under load: the number of hosts
// of an embedded experiment, the addresses of a remote one.
func (c *converter) checkSite() {
	w := c.wire
	if w.Embedded {
		c.check(w.Hosts >= 1 && w.Hosts <= maxHosts, "hosts", "%d is out of range; allowed is 1 to %d", w.Hosts, maxHosts)
		c.check(len(w.Remote.Entries) == 0, "remote", "not allowed in an embedded experiment")
		return
	}
	c.check(w.Hosts == 0, "hosts", "allowed only in an embedded experiment")
	c.check(len(w.Remote.Entries) > 0, "remote.entries", "missing; required unless embedded is true")
	c.check(w.Remote.Platform != "", "remote.platform", "missing; required unless embedded is true")
	c.check(w.Remote.Admin != "", "remote.admin", "missing; required unless embedded is true")
	c.check(w.Remote.Fleet != "", "remote.fleet", "missing; required unless embedded is true")
}

func (c *converter) targetOverrides() targetOverrides {
	w := c.wire.Targets
	overridden := w.Latency != "" || w.Straggle != nil || w.Straggler != ""
	c.check(c.wire.Embedded || !overridden, "targets", "allowed only in an embedded experiment")
	ok := w.Straggle == nil || *w.Straggle >= 0 && *w.Straggle <= 1
	c.check(ok, "targets.straggle", "out of range; allowed is 0 to 1")
	t := targetOverrides{straggle: w.Straggle}
	if w.Latency != "" {
		latency := c.duration("targets.latency", w.Latency, 0, maxLatency)
		t.latency = &latency
	}
	if w.Straggler != "" {
		straggler := c.duration("targets.straggler", w.Straggler, 0, maxLatency)
		t.straggler = &straggler
	}
	return t
}

func (c *converter) groups(shape standin.Shape) []group {
	c.check(len(c.wire.Groups) > 0, "groups", "empty; at least one is required")
	known := groupClasses(shape)
	list := make([]group, 0, len(c.wire.Groups))
	for i, w := range c.wire.Groups {
		prefix := fmt.Sprintf("groups[%d].", i)
		name := magnoliashore.GroupName(w.Group)
		_, ok := known[name]
		c.check(ok, prefix+"group", "the shape has no group %q", w.Group)
		c.check(w.Rate > 0 && w.Rate <= maxRate, prefix+"rate", "%g is out of range; allowed is above 0 to %d", w.Rate, maxRate)
		deadline := c.duration(prefix+"deadline", w.Deadline, time.Millisecond, maxLength)
		c.check(w.Best >= 0 && w.Best <= maxTopK, prefix+"best", "%d is out of range; allowed is 0 to %d", w.Best, maxTopK)
		duplicate := slices.ContainsFunc(list, func(g group) bool { return g.name == name })
		c.check(!duplicate, prefix+"group", "%q is listed twice", w.Group)
		list = append(list, group{name: name, rate: w.Rate, deadline: deadline, topK: w.Best, atMostOnce: w.Once})
	}
	return list
}

// checkVolume checks the expected number of queries of each policy.
func (c *converter) checkVolume(e Experiment) {
	var rate float64
	for _, g := range e.groups {
		rate += g.rate
	}
	for i, p := range e.policies {
		n := rate * p.rateFactor * (e.warmup + e.length).Seconds()
		c.check(n <= maxArrivals, fmt.Sprintf("policies[%d]", i), "%.0f queries; the maximum is %d", n, maxArrivals)
	}
}
