package load

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/magnoliashore/magnoliashore/settings"
)

// policies returns the policies in the order of the file.
func (c *converter) policies() []policy {
	c.check(len(c.wire.Policies) > 0, "policies", "empty; at least one is required")
	names := make(map[string]bool)
	list := make([]policy, 0, len(c.wire.Policies))
	for i, w := range c.wire.Policies {
		prefix := fmt.Sprintf("policies[%d].", i)
		c.check(w.Name != "", prefix+"name", "empty")
		c.check(!names[w.Name], prefix+"name", "%q is listed twice", w.Name)
		names[w.Name] = true
		p := policy{name: w.Name, direct: w.Direct, rateFactor: w.Rate}
		if p.rateFactor == 0 {
			p.rateFactor = 1
		}
		c.check(p.rateFactor > 0 && p.rateFactor <= maxRateFactor, prefix+"rate", "%g is out of range; allowed is above 0 to %d", p.rateFactor, maxRateFactor)
		if len(w.Settings) > 0 {
			c.check(c.wire.Embedded && !w.Direct, prefix+"settings", "allowed only for the entry hosts of an embedded experiment")
			p.applySettings = c.settingsOverlay(prefix + "settings")
		}
		list = append(list, p)
	}
	return list
}

// settingsOverlay returns a function that applies the settings of the mapping
// at path to those of a host. Each line goes through settings.Load, so an
// experiment follows the same rules as a settings file.
func (c *converter) settingsOverlay(path string) func(*settings.Settings) {
	var text strings.Builder
	for _, section := range mappingEntries(c.node(path)) {
		name := section.Key.String()
		fmt.Fprintf(&text, "%s:\n", name)
		for _, v := range mappingEntries(section.Value) {
			line := fmt.Sprintf("%s: %s", v.Key, v.Value)
			if _, err := settings.Load(fmt.Appendf(nil, "%s:\n  %s\n", name, line)); err != nil {
				_, text, _ := strings.Cut(err.Error(), "line 2: ")
				c.addError(path+"."+name+"."+v.Key.String(), "%s", text)
				continue
			}
			fmt.Fprintf(&text, "  %s\n", line)
		}
	}
	loaded, err := settings.Load([]byte(text.String()))
	if err != nil {
		return nil
	}
	c.checkSettings(path, loaded)
	return func(s *settings.Settings) {
		s.Lease, s.Policy, s.Limits = loaded.Lease, loaded.Policy, loaded.Limits
		s.Config, s.Warm = loaded.Config, loaded.Warm
	}
}

// checkSettings checks the values of s, with valid identity and addresses
// filled in.
func (c *converter) checkSettings(path string, s settings.Settings) {
	s.Host, s.Zone, s.Cell = "e1", "a", "cell"
	s.Caller, s.Peer, s.Platform = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	s.Operator = "127.0.0.1:4"
	if err := s.Check(); err != nil {
		c.addError(path, "%v", err)
	}
}

// mappingEntries returns the entries of a mapping, or nil for any other node.
func mappingEntries(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	default:
		return nil
	}
}
