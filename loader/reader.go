package loader

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"

	"bergamotloom.example/diag"
)

// Limits on nesting: the depth of brackets, and, as nested block lists have
// none, the column of list entries.
const (
	maxBracketDepth = 8
	maxEntryColumn  = 40
)

// reader walks the syntax tree of one file and reports problems.
type reader struct {
	file     string
	problems *[]diag.Diagnostic
}

// entry is one key of a mapping with its value. The places of list elements are
// added to places, which is nil at the top level of a file.
type entry struct {
	key    string
	place  diag.Diagnostic
	value  ast.Node
	places map[string]diag.Diagnostic
}

// field describes one field of the entries of an area.
type field[T any] struct {
	name     string
	required bool
	set      func(r *reader, e entry, into *T)
}

func (r *reader) report(place diag.Diagnostic, format string, args ...any) {
	place.Text = fmt.Sprintf(format, args...)
	*r.problems = append(*r.problems, place)
}

// place returns a diagnostic without text at the position of a token.
func (r *reader) place(t *token.Token) diag.Diagnostic {
	if t == nil || t.Position == nil {
		return diag.Diagnostic{File: r.file}
	}
	return diag.Diagnostic{File: r.file, Line: t.Position.Line, Column: t.Position.Column}
}

// areas parses the file and returns its top-level entries.
func (r *reader) areas(content []byte) []entry {
	start := diag.Diagnostic{File: r.file}
	if len(content) > FileLimit {
		r.report(start, "the file is larger than %d bytes", FileLimit)
		return nil
	}
	tokens := lexer.Tokenize(string(content))
	if t, problem := findUnsupported(tokens); t != nil {
		r.report(r.place(t), "%s", problem)
		return nil
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.reportSyntax(err)
		return nil
	}
	var top []entry
	for i, d := range tree.Docs {
		if d.Body == nil || d.Body.Type() == ast.NullType {
			continue
		}
		if i > 0 {
			r.report(r.place(d.Body.GetToken()), "a file holds one document: put this one into its own file")
			continue
		}
		top = r.mapping(d.Body, "the file")
	}
	return top
}

// findUnsupported returns the first token that is nested too deeply or uses an
// unsupported feature of YAML, and the problem. No configuration needs either,
// and the parser's time grows with the square of the depth.
func findUnsupported(tokens token.Tokens) (*token.Token, string) {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType:
			return t, "anchors, aliases, tags, merges and complex keys aren't taken"
		}
		entryTooDeep := t.Type == token.SequenceEntryType && t.Position.Column > maxEntryColumn
		if depth > maxBracketDepth || entryTooDeep {
			return t, "nested too deeply"
		}
	}
	return nil, ""
}

func (r *reader) reportSyntax(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		r.report(r.place(syntax.Token), "not YAML: %s", syntax.Message)
		return
	}
	r.report(diag.Diagnostic{File: r.file}, "not YAML")
}

// mapping returns the entries of a mapping, and reports keys that aren't plain
// text or not unique.
func (r *reader) mapping(n ast.Node, description string) []entry {
	m, ok := n.(ast.MapNode)
	if !ok {
		r.report(r.place(n.GetToken()), "%s must be a mapping of fields", description)
		return nil
	}
	var entries []entry
	seen := make(map[string]diag.Diagnostic)
	for i := m.MapRange(); i.Next(); {
		place := r.place(i.Key().GetToken())
		key, plain := i.Key().(*ast.StringNode)
		if !plain {
			r.report(place, "the name of a field must be plain text")
			continue
		}
		if first, duplicate := seen[key.Value]; duplicate {
			r.report(place, "%s is set twice, first at %s", key.Value, first.Place())
			continue
		}
		seen[key.Value] = place
		entries = append(entries, entry{key: key.Value, place: place, value: i.Value()})
	}
	return entries
}

// items returns the values of a list.
func (r *reader) items(e entry) []ast.Node {
	list, ok := e.value.(*ast.SequenceNode)
	if !ok {
		r.report(e.place, "%s must be a list", e.key)
		return nil
	}
	return list.Values
}

// readList reads the entries of one area.
func readList[T any](r *reader, e entry, fields []field[T]) []item[T] {
	var items []item[T]
	description := "an entry of " + e.key
	for _, n := range r.items(e) {
		if fieldEntries := r.mapping(n, description); len(fieldEntries) > 0 {
			items = append(items, readItem(r, description, fieldEntries, fields))
		}
	}
	return items
}

func readItem[T any](r *reader, description string, fieldEntries []entry, fields []field[T]) item[T] {
	read := item[T]{places: make(map[string]diag.Diagnostic, len(fieldEntries))}
	for _, e := range fieldEntries {
		read.places[e.key] = e.place
		f, ok := fieldByName(fields, e.key)
		if !ok {
			r.report(e.place, "unknown field %q in %s: use %s", e.key, description, fieldNames(fields))
			continue
		}
		e.places = read.places
		f.set(r, e, &read.value)
	}
	for _, f := range fields {
		if _, ok := read.places[f.name]; !ok && f.required {
			r.report(fieldEntries[0].place, "%s lacks %s", description, f.name)
		}
	}
	return read
}

func fieldByName[T any](fields []field[T], name string) (field[T], bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

func fieldNames[T any](fields []field[T]) string {
	var names []string
	for _, f := range fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}
