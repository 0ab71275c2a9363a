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

// The ranges of an experiment.
const (
	maxHosts   = 9
	maxWarmup  = 30 * time.Second
	minLength  = 500 * time.Millisecond
	maxLength  = time.Minute
	maxRate    = 10_000 // arrivals per second
	maxArrival = 200_000
	maxFactor  = 100
	maxBest    = 1000
	maxLatency = 10 * time.Second
)

// converter makes an Experiment of its wire form and collects the faults.
type converter struct {
	file   *ast.File
	wire   wireExperiment
	faults []error
}

// fail records a fault of the key at path, such as "groups[0].rate".
func (c *converter) fail(path, format string, args ...any) {
	fault := errors.Newf(format, args...)
	c.faults = append(c.faults, errors.Wrapf(fault, "line %d: %s", c.line(path), path))
}

// check records a fault unless ok.
func (c *converter) check(ok bool, path, format string, args ...any) {
	if !ok {
		c.fail(path, format, args...)
	}
}

// line returns the line of the key at path, or of the nearest key above it.
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
	place, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	node, err := place.FilterFile(c.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return nil
	}
	return node
}

// time returns the time at path, zero if it is absent, and checks its range.
func (c *converter) time(path, text string, least, most time.Duration) time.Duration {
	var d time.Duration
	if text != "" {
		var err error
		d, err = time.ParseDuration(text)
		if err != nil {
			c.fail(path, "%q is no time with a unit, such as 400ms or 2s", text)
			return 0
		}
	}
	c.check(d >= least && d <= most, path, "%v is out of range; allowed is %v to %v", d, least, most)
	return d
}

func (c *converter) convert() Experiment {
	w := c.wire
	e := Experiment{
		name: w.Name, seed: w.Seed, embedded: w.Embedded, hosts: w.Hosts, against: w.Against,
		warmup: c.time("warmup", w.Warmup, 0, maxWarmup),
		length: c.time("length", w.Length, minLength, maxLength),
		remote: remote{
			entries: w.Remote.Entries, operators: w.Remote.Operators,
			platform: w.Remote.Platform, admin: w.Remote.Admin, fleet: w.Remote.Fleet,
		},
	}
	c.check(w.Name != "" && !strings.ContainsAny(w.Name, "/ "), "name", "%q is no name; it must not be empty or hold / or spaces", w.Name)
	e.shape = c.shape()
	c.place()
	e.targets = c.tune()
	e.groups = c.groups(e.shape)
	e.faults = c.timeline(e)
	e.policies = c.policies()
	c.volume(e)
	known := w.Against == "" || slices.Contains(e.Policies(), w.Against)
	c.check(known, "against", "%q is none of the policies %q", w.Against, e.Policies())
	return e
}

func (c *converter) shape() standin.Shape {
	shape, err := standin.NamedShape(c.wire.Shape.Name, c.wire.Shape.Scale)
	if err != nil {
		c.fail("shape", "%v", err)
	}
	return shape
}

// place checks where the experiment runs.
func (c *converter) place() {
	w := c.wire
	if w.Embedded {
		c.check(w.Hosts >= 1 && w.Hosts <= maxHosts, "hosts", "%d is out of range; allowed is 1 to %d", w.Hosts, maxHosts)
		c.check(len(w.Remote.Entries) == 0, "remote", "an embedded experiment has no remote addresses")
		return
	}
	c.check(w.Hosts == 0, "hosts", "only an embedded experiment starts hosts")
	c.check(len(w.Remote.Entries) > 0, "remote.entries", "no address; needed without embedded: true")
	c.check(w.Remote.Platform != "", "remote.platform", "no address; needed without embedded: true")
	c.check(w.Remote.Admin != "", "remote.admin", "no address; needed without embedded: true")
	c.check(w.Remote.Fleet != "", "remote.fleet", "no address; needed without embedded: true")
}

func (c *converter) tune() tune {
	w := c.wire.Targets
	set := w.Latency != "" || w.Straggle != nil || w.Straggler != ""
	c.check(c.wire.Embedded || !set, "targets", "only the targets of an embedded experiment can be set")
	ok := w.Straggle == nil || *w.Straggle >= 0 && *w.Straggle <= 1
	c.check(ok, "targets.straggle", "out of range; allowed is 0 to 1")
	t := tune{straggle: w.Straggle}
	if w.Latency != "" {
		latency := c.time("targets.latency", w.Latency, 0, maxLatency)
		t.latency = &latency
	}
	if w.Straggler != "" {
		straggler := c.time("targets.straggler", w.Straggler, 0, maxLatency)
		t.straggler = &straggler
	}
	return t
}

func (c *converter) groups(shape standin.Shape) []group {
	c.check(len(c.wire.Groups) > 0, "groups", "empty; needed is at least one")
	known := classes(shape)
	list := make([]group, 0, len(c.wire.Groups))
	for i, w := range c.wire.Groups {
		at := fmt.Sprintf("groups[%d].", i)
		name := magnoliashore.GroupName(w.Group)
		_, ok := known[name]
		c.check(ok, at+"group", "%q is no group of the shape", w.Group)
		c.check(w.Rate > 0 && w.Rate <= maxRate, at+"rate", "%g is out of range; allowed is above 0 to %d", w.Rate, maxRate)
		deadline := c.time(at+"deadline", w.Deadline, time.Millisecond, maxLength)
		c.check(w.Best >= 0 && w.Best <= maxBest, at+"best", "%d is out of range; allowed is 0 to %d", w.Best, maxBest)
		again := slices.ContainsFunc(list, func(g group) bool { return g.name == name })
		c.check(!again, at+"group", "%q is listed twice", w.Group)
		list = append(list, group{name: name, rate: w.Rate, deadline: deadline, best: w.Best, once: w.Once})
	}
	return list
}

// volume bounds the number of queries of a policy.
func (c *converter) volume(e Experiment) {
	var rate float64
	for _, g := range e.groups {
		rate += g.rate
	}
	for i, p := range e.policies {
		n := rate * p.factor * (e.warmup + e.length).Seconds()
		c.check(n <= maxArrival, fmt.Sprintf("policies[%d]", i), "%.0f queries; allowed are at most %d", n, maxArrival)
	}
}
