package settings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/magnoliashore/magnoliashore"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 64 << 10

// Load parses settings from YAML; settings missing from the file keep their
// defaults. It rejects unknown keys and values of a wrong type or unit, and the
// error joins all of them with their lines. Load does not check ranges: call
// Settings.Check for that.
func Load(data []byte) (Settings, error) {
	if len(data) > maxFileBytes {
		err := errors.Newf("the file has %d bytes; at most %d are allowed", len(data), maxFileBytes)
		return Settings{}, magnoliashore.Step(err, "load settings", "")
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, magnoliashore.Step(err, "load settings", "")
	}
	l := newLoader()
	l.applyFile(file)
	if err := errors.Join(l.errs...); err != nil {
		return Settings{}, magnoliashore.Step(err, "load settings", "")
	}
	return l.settings, nil
}

// loader applies a YAML file to settings and collects the errors.
type loader struct {
	settings Settings
	fields   map[string]field // by name
	sections map[string]bool
	errs     []error
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

func (l *loader) addError(node ast.Node, format string, args ...any) {
	line := 0
	if t := node.GetToken(); t != nil && t.Position != nil {
		line = t.Position.Line
	}
	l.errs = append(l.errs, errors.Wrapf(errors.Newf(format, args...), "line %d", line))
}

func (l *loader) applyFile(file *ast.File) {
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
		l.addError(bodies[1], "the file has a second document; only one is allowed")
		return
	}
	l.applyRoot(bodies[0])
}

func (l *loader) applyRoot(body ast.Node) {
	if body.Type() == ast.CommentType {
		return
	}
	values, ok := mapping(body)
	if !ok {
		l.addError(body, "the file is not a mapping of settings")
		return
	}
	for _, v := range values {
		key := keyText(v.Key)
		if l.sections[key] {
			l.applySection(key, v)
			continue
		}
		l.applyField("", v)
	}
}

func (l *loader) applySection(name string, section *ast.MappingValueNode) {
	values, ok := mapping(section.Value)
	if !ok {
		l.addError(section.Key, "%s is not a section; indent its settings below it", name)
		return
	}
	for _, v := range values {
		l.applyField(name, v)
	}
}

func (l *loader) applyField(section string, v *ast.MappingValueNode) {
	name := field{section: section, key: keyText(v.Key)}.name()
	f, ok := l.fields[name]
	if !ok {
		l.addError(v.Key, "%s is unknown; allowed are %s", name, l.allowedKeys(section))
		return
	}
	text, ok := scalar(v.Value)
	if !ok {
		l.addError(v.Key, "%s does not have a plain value", name)
		return
	}
	if err := f.value.set(&l.settings, text); err != nil {
		l.addError(v.Key, "%s: %v", name, err)
	}
}

// allowedKeys lists the keys allowed in a section, or at the top level if
// section is empty.
func (l *loader) allowedKeys(section string) string {
	var keys []string
	lastSection := ""
	for _, f := range fields() {
		if f.section == section {
			keys = append(keys, f.key)
		}
		if section == "" && f.section != "" && f.section != lastSection {
			keys = append(keys, f.section)
			lastSection = f.section
		}
	}
	return strings.Join(keys, ", ")
}

// mapping returns the entries of a mapping. The parser gives a mapping with one
// entry a node type of its own.
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

// keyText returns a key without its quotes and comments.
func keyText(key ast.MapKeyNode) string {
	if t := key.GetToken(); t != nil {
		return t.Value
	}
	return key.String()
}
