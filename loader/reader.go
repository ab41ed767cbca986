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

// Bounds on nesting: of brackets, and of list entries by their column.
const (
	maxFlowDepth   = 8
	maxEntryColumn = 40
)

// reader walks the syntax tree of one file and reports what is wrong in it.
type reader struct {
	file     string
	problems *[]diag.Diagnostic
}

// entry is one key of a mapping with its value. Places is where the elements
// of a list note their places; it's nil at the top of a file.
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

func (r *reader) report(at diag.Diagnostic, format string, args ...any) {
	at.Text = fmt.Sprintf(format, args...)
	*r.problems = append(*r.problems, at)
}

// place returns the position of a token in this file, without a text.
func (r *reader) place(t *token.Token) diag.Diagnostic {
	if t == nil || t.Position == nil {
		return diag.Diagnostic{File: r.file}
	}
	return diag.Diagnostic{File: r.file, Line: t.Position.Line, Column: t.Position.Column}
}

// areas parses the file and returns the entries at its top.
func (r *reader) areas(content []byte) []entry {
	whole := diag.Diagnostic{File: r.file}
	if len(content) > FileLimit {
		r.report(whole, "the file is larger than %d bytes", FileLimit)
		return nil
	}
	tokens := lexer.Tokenize(string(content))
	if at, why := untaken(tokens); at != nil {
		r.report(r.place(at), "%s", why)
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

// untaken finds the first token of what no configuration needs: deep nesting,
// with whose square the parser's time grows, and YAML's rarer features.
func untaken(tokens token.Tokens) (*token.Token, string) {
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
		if depth > maxFlowDepth || entryTooDeep {
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

// mapping returns the entries of a mapping whose keys are plain and different.
func (r *reader) mapping(n ast.Node, what string) []entry {
	m, ok := n.(ast.MapNode)
	if !ok {
		r.report(r.place(n.GetToken()), "%s must be a mapping of fields", what)
		return nil
	}
	var all []entry
	seen := make(map[string]diag.Diagnostic)
	for i := m.MapRange(); i.Next(); {
		at := r.place(i.Key().GetToken())
		key, plain := i.Key().(*ast.StringNode)
		if !plain {
			r.report(at, "the name of a field must be plain text")
			continue
		}
		if first, twice := seen[key.Value]; twice {
			r.report(at, "%s is set twice, first at %s", key.Value, first.Place())
			continue
		}
		seen[key.Value] = at
		all = append(all, entry{key: key.Value, place: at, value: i.Value()})
	}
	return all
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
	var all []item[T]
	what := "an entry of " + e.key
	for _, n := range r.items(e) {
		if parts := r.mapping(n, what); len(parts) > 0 {
			all = append(all, readItem(r, what, parts, fields))
		}
	}
	return all
}

func readItem[T any](r *reader, what string, parts []entry, fields []field[T]) item[T] {
	read := item[T]{places: make(map[string]diag.Diagnostic, len(parts))}
	for _, p := range parts {
		read.places[p.key] = p.place
		f, ok := fieldNamed(fields, p.key)
		if !ok {
			r.report(p.place, "unknown field %q in %s: use %s", p.key, what, names(fields))
			continue
		}
		p.places = read.places
		f.set(r, p, &read.value)
	}
	for _, f := range fields {
		if _, ok := read.places[f.name]; !ok && f.required {
			r.report(parts[0].place, "%s lacks %s", what, f.name)
		}
	}
	return read
}

func fieldNamed[T any](fields []field[T], name string) (field[T], bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

func names[T any](fields []field[T]) string {
	var all []string
	for _, f := range fields {
		all = append(all, f.name)
	}
	return strings.Join(all, ", ")
}
