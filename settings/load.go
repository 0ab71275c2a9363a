package settings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/magnoliashore/magnoliashore"
)

// maxFile is the most bytes that a settings file may have.
const maxFile = 64 << 10

// Load reads settings from YAML; what the file leaves out keeps its default.
// It refuses unknown keys, and values of a wrong type or unit; the error
// joins every fault with its line. Check checks ranges; Load does not.
func Load(data []byte) (Settings, error) {
	if len(data) > maxFile {
		err := errors.Newf("the file has %d bytes; allowed are at most %d", len(data), maxFile)
		return Settings{}, magnoliashore.Step(err, "load settings", "")
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, magnoliashore.Step(err, "load settings", "")
	}
	l := newLoader()
	l.file(file)
	if err := errors.Join(l.faults...); err != nil {
		return Settings{}, magnoliashore.Step(err, "load settings", "")
	}
	return l.settings, nil
}

// loader applies a YAML file to settings and collects the faults.
type loader struct {
	settings Settings
	fields   map[string]field // by name
	sections map[string]bool
	faults   []error
}

func newLoader() *loader {
	l := &loader{
		settings: Default(),
		fields:   make(map[string]field),
		sections: make(map[string]bool),
	}
	for _, f := range fields() {
		l.fields[f.name()] = f
		if f.section != "" {
			l.sections[f.section] = true
		}
	}
	return l
}

func (l *loader) fail(node ast.Node, format string, args ...any) {
	line := 0
	if t := node.GetToken(); t != nil && t.Position != nil {
		line = t.Position.Line
	}
	l.faults = append(l.faults, errors.Wrapf(errors.Newf(format, args...), "line %d", line))
}

func (l *loader) file(file *ast.File) {
	bodies := make([]ast.Node, 0, len(file.Docs))
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		return
	}
	if len(bodies) > 1 {
		l.fail(bodies[1], "a second document; allowed is one")
		return
	}
	l.top(bodies[0])
}

func (l *loader) top(body ast.Node) {
	if body.Type() == ast.CommentType {
		return
	}
	values, ok := mapping(body)
	if !ok {
		l.fail(body, "the file is no mapping of settings")
		return
	}
	for _, v := range values {
		key := keyText(v.Key)
		if l.sections[key] {
			l.section(key, v)
			continue
		}
		l.field("", v)
	}
}

func (l *loader) section(name string, section *ast.MappingValueNode) {
	values, ok := mapping(section.Value)
	if !ok {
		l.fail(section.Key, "%s is no section; write its settings below it, indented", name)
		return
	}
	for _, v := range values {
		l.field(name, v)
	}
}

func (l *loader) field(section string, v *ast.MappingValueNode) {
	name := field{section: section, key: keyText(v.Key)}.name()
	f, ok := l.fields[name]
	if !ok {
		l.fail(v.Key, "%s is unknown; allowed are %s", name, l.known(section))
		return
	}
	text, ok := scalar(v.Value)
	if !ok {
		l.fail(v.Key, "%s has no plain value", name)
		return
	}
	if err := f.value.set(&l.settings, text); err != nil {
		l.fail(v.Key, "%s: %v", name, err)
	}
}

// known lists the keys of a section.
func (l *loader) known(section string) string {
	var keys []string
	last := ""
	for _, f := range fields() {
		if f.section == section {
			keys = append(keys, f.key)
		}
		if section == "" && f.section != "" && f.section != last {
			keys = append(keys, f.section)
			last = f.section
		}
	}
	return strings.Join(keys, ", ")
}

func mapping(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

// scalar returns the text of a plain or quoted value.
func scalar(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

// keyText returns a key without quotes and comments.
func keyText(key ast.MapKeyNode) string {
	if t := key.GetToken(); t != nil {
		return t.Value
	}
	return key.String()
}
