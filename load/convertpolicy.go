package load

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/magnoliashore/magnoliashore/settings"
)

// policies returns the policies to compare.
func (c *converter) policies() []policy {
	c.check(len(c.wire.Policies) > 0, "policies", "empty; needed is at least one")
	seen := make(map[string]bool)
	list := make([]policy, 0, len(c.wire.Policies))
	for i, w := range c.wire.Policies {
		at := fmt.Sprintf("policies[%d].", i)
		c.check(w.Name != "", at+"name", "empty")
		c.check(!seen[w.Name], at+"name", "%q is listed twice", w.Name)
		seen[w.Name] = true
		p := policy{name: w.Name, direct: w.Direct, factor: w.Rate}
		if p.factor == 0 {
			p.factor = 1
		}
		c.check(p.factor > 0 && p.factor <= maxFactor, at+"rate", "%g is out of range; allowed is above 0 to %d", p.factor, maxFactor)
		if len(w.Settings) > 0 {
			c.check(c.wire.Embedded && !w.Direct, at+"settings", "only the entry hosts of an embedded experiment take settings")
			p.overlay = c.overlay(at + "settings")
		}
		list = append(list, p)
	}
	return list
}

// overlay returns the change of the settings that the mapping at path states.
// The package settings reads each of them, so its rules hold.
func (c *converter) overlay(path string) func(*settings.Settings) {
	var text strings.Builder
	for _, section := range entries(c.node(path)) {
		name := section.Key.String()
		fmt.Fprintf(&text, "%s:\n", name)
		for _, v := range entries(section.Value) {
			line := fmt.Sprintf("%s: %s", v.Key, v.Value)
			if _, err := settings.Load(fmt.Appendf(nil, "%s:\n  %s\n", name, line)); err != nil {
				_, text, _ := strings.Cut(err.Error(), "line 2: ")
				c.fail(path+"."+name+"."+v.Key.String(), "%s", text)
				continue
			}
			fmt.Fprintf(&text, "  %s\n", line)
		}
	}
	loaded, err := settings.Load([]byte(text.String()))
	if err != nil {
		return nil
	}
	c.ranges(path, loaded)
	return func(s *settings.Settings) {
		s.Lease, s.Policy, s.Limits = loaded.Lease, loaded.Policy, loaded.Limits
		s.Config, s.Warm = loaded.Config, loaded.Warm
	}
}

// ranges checks the settings as those of a host with valid addresses.
func (c *converter) ranges(path string, s settings.Settings) {
	s.Host, s.Zone, s.Cell = "e1", "a", "cell"
	s.Caller, s.Peer, s.Platform = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	s.Operator = "127.0.0.1:4"
	if err := s.Check(); err != nil {
		c.fail(path, "%v", err)
	}
}

// entries returns the keys and values of a mapping; none for another node.
func entries(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	default:
		return nil
	}
}
