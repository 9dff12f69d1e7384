// Package cvschema implements the validation of YAML documents against a list of fields.
package cvschema

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"comfreyvale"
	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvvalues"
)

const maxDocumentBytes = 1 << 20

// maxProblems is the maximum number of problems reported per document.
const maxProblems = 50

// Schema defines the fields that a document may contain. It is safe for concurrent use.
type Schema struct {
	fields []cvfield.Field
	byPath map[string]cvfield.Field
}

// New returns a schema with the given fields.
func New(fields []cvfield.Field) *Schema {
	s := &Schema{fields: fields, byPath: make(map[string]cvfield.Field)}
	for _, f := range fields {
		s.byPath[f.Path] = f
	}
	return s
}

// Fields returns the fields of the schema in the order of the reference page.
func (s *Schema) Fields() []cvfield.Field { return s.fields }

// Parse validates a document. Its error has one line per problem, in the form file:line:column: field: what is wrong,
// what is allowed.
func (s *Schema) Parse(file string, content []byte) (*cvvalues.Values, error) {
	root, err := readNode(file, content)
	if err != nil {
		return nil, err
	}
	p := &parser{schema: s, file: file, values: cvvalues.New(file)}
	p.mapping(root, "", "")
	if len(p.problems) > 0 {
		return nil, newFault("parse", comfreyvale.KindInvalid, errors.New(strings.Join(p.problems, "\n")))
	}
	return p.values, nil
}

func readNode(file string, content []byte) (*yaml.Node, error) {
	if len(content) > maxDocumentBytes {
		return nil, invalid("%s:1:1: document: has %d bytes, at most %d are allowed", file, len(content), maxDocumentBytes)
	}
	if !utf8.Valid(content) {
		return nil, invalid("%s:1:1: document: is not UTF-8", file)
	}
	decoder := yaml.NewDecoder(strings.NewReader(string(content)))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		return nil, invalid("%s:1:1: document: is not YAML: %s", file, firstLine(err.Error()))
	}
	var second yaml.Node
	if decoder.Decode(&second) == nil {
		return nil, invalid("%s:%d:1: document: contains more than one YAML document, one is allowed", file, second.Line)
	}
	if len(document.Content) == 0 {
		return nil, invalid("%s:1:1: document: is empty", file)
	}
	return document.Content[0], nil
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

type parser struct {
	schema   *Schema
	file     string
	values   *cvvalues.Values
	problems []string
}

func (p *parser) addProblem(n *yaml.Node, path, format string, args ...any) {
	if len(p.problems) >= maxProblems {
		return
	}
	if path == "" {
		path = "document"
	}
	p.problems = append(p.problems, fmt.Sprintf("%s:%d:%d: %s: %s", p.file, n.Line, n.Column, path, fmt.Sprintf(format, args...)))
}

// mapping reads the fields of a YAML mapping. The paths of the fields start with prefix in the document, for example
// "classes[0].", and with schemaPrefix, which has no list indexes, in the schema, for example "classes[].".
func (p *parser) mapping(n *yaml.Node, prefix, schemaPrefix string) {
	if n.Kind != yaml.MappingNode {
		p.addProblem(n, prefix, "is %s, a mapping of fields is allowed", describe(n))
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		p.field(n.Content[i], n.Content[i+1], prefix, schemaPrefix, seen)
	}
	p.checkMissing(n, prefix, schemaPrefix, seen)
}

func (p *parser) field(key, value *yaml.Node, prefix, schemaPrefix string, seen map[string]int) {
	if key.Kind != yaml.ScalarNode || key.Tag != "!!str" {
		p.addProblem(key, prefix, "has %s as a field name, a text is allowed", describe(key))
		return
	}
	name := key.Value
	if line, ok := seen[name]; ok {
		p.addProblem(key, prefix+name, "is defined twice, first in line %d", line)
		return
	}
	seen[name] = key.Line
	if f, ok := p.schema.byPath[schemaPrefix+name]; ok {
		p.value(value, f, prefix+name)
		return
	}
	if p.schema.hasFieldsUnder(schemaPrefix + name + ".") {
		p.mapping(value, prefix+name+".", schemaPrefix+name+".")
		return
	}
	p.addProblem(key, prefix+name, "is unknown, allowed are: %s", strings.Join(p.schema.fieldNamesUnder(schemaPrefix), ", "))
}

func (p *parser) checkMissing(n *yaml.Node, prefix, schemaPrefix string, seen map[string]int) {
	for _, f := range p.schema.fields {
		name, ok := strings.CutPrefix(f.Path, schemaPrefix)
		if !ok || strings.Contains(name, "[]") {
			continue
		}
		first, _, _ := strings.Cut(name, ".")
		if seen[first] > 0 {
			continue
		}
		if f.Required {
			p.addProblem(n, prefix+name, "is missing, allowed is %s", allowed(f))
			continue
		}
		p.setDefault(f, prefix+name)
	}
}

func (p *parser) setDefault(f cvfield.Field, path string) {
	if f.Kind == cvfield.List {
		p.values.SetLen(path, 0)
		return
	}
	if f.Kind == cvfield.Texts {
		p.values.Set(path, f.Default, 0, 0, splitList(f.Default))
		return
	}
	number, _ := parseScalar(f, f.Default)
	p.values.Set(path, f.Default, 0, number, nil)
}

func (p *parser) value(n *yaml.Node, f cvfield.Field, path string) {
	switch f.Kind {
	case cvfield.List:
		p.list(n, f, path)
	case cvfield.Texts:
		p.textList(n, f, path)
	default:
		p.scalar(n, f, path)
	}
}

func (p *parser) list(n *yaml.Node, f cvfield.Field, path string) {
	if n.Kind != yaml.SequenceNode {
		p.addProblem(n, path, "is %s, a list is allowed", describe(n))
		return
	}
	p.values.SetLen(path, len(n.Content))
	for i, item := range n.Content {
		p.mapping(item, fmt.Sprintf("%s[%d].", path, i), f.Path+"[].")
	}
}

func (p *parser) textList(n *yaml.Node, f cvfield.Field, path string) {
	if n.Kind != yaml.SequenceNode {
		p.addProblem(n, path, "is %s, a list of texts is allowed", describe(n))
		return
	}
	var texts []string
	for _, item := range n.Content {
		if problem := checkScalar(item, f); problem != "" {
			p.addProblem(item, path, "%s", problem)
			return
		}
		texts = append(texts, item.Value)
	}
	p.values.Set(path, strings.Join(texts, " "), n.Line, 0, texts)
}

func (p *parser) scalar(n *yaml.Node, f cvfield.Field, path string) {
	if problem := checkScalar(n, f); problem != "" {
		p.addProblem(n, path, "%s", problem)
		return
	}
	number, _ := parseScalar(f, n.Value)
	p.values.Set(path, n.Value, n.Line, number, nil)
}

func (s *Schema) hasFieldsUnder(prefix string) bool {
	return slices.ContainsFunc(s.fields, func(f cvfield.Field) bool { return strings.HasPrefix(f.Path, prefix) })
}

func (s *Schema) fieldNamesUnder(prefix string) []string {
	var names []string
	for _, f := range s.fields {
		name, ok := strings.CutPrefix(f.Path, prefix)
		if !ok {
			continue
		}
		name, _, _ = strings.Cut(name, ".")
		name = strings.TrimSuffix(name, "[]")
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
