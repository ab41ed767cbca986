// Package loader builds a configuration from the contents of its files.
//
// Files are merged in the order of their names. Unknown fields, implausible
// values, undefined names and duplicate definitions are errors. All errors are
// reported at once.
package loader

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"bergamotloom.example/config"
	"bergamotloom.example/diag"
	"bergamotloom.example/route"
	"bergamotloom.example/servc"
	"bergamotloom.example/team"
)

// FileLimit is the largest size of one file, in bytes.
const FileLimit = 256 * 1024

// Loader loads successive versions and only parses the files that have changed.
// It isn't safe for use by several goroutines at once.
type Loader struct {
	files map[string]parsed
}

// New returns a loader that has parsed no files.
func New() *Loader {
	return &Loader{files: make(map[string]parsed)}
}

// Load merges the files, given as contents by name, into the configuration with
// the given version. It returns either the configuration or all problems,
// ordered by place.
func (l *Loader) Load(version int64, contents map[string][]byte) (*config.Config, []diag.Diagnostic) {
	m := &merger{}
	files := make(map[string]parsed, len(contents))
	for _, name := range slices.Sorted(maps.Keys(contents)) {
		p, ok := l.files[name]
		if !ok || !bytes.Equal(p.content, contents[name]) {
			p = parse(name, contents[name])
		}
		files[name] = p
		m.add(p)
	}
	l.files = files
	teams, services := m.checkTeams(), m.checkServices()
	m.checkRoutes(teams, services)
	if len(m.problems) > 0 {
		diag.Sort(m.problems)
		return nil, m.problems
	}
	return config.New(version, values(m.teams), values(m.services), values(m.routes)), nil
}

// Place returns the place of a field of an entry in the files that were loaded last, as
// a diagnostic without text. Area is Teams, Services or Routes. If the entry doesn't
// set the field, it's the place of its name.
func (l *Loader) Place(area, name, field string) diag.Diagnostic {
	for _, p := range l.files {
		var place diag.Diagnostic
		found := false
		switch area {
		case "Teams":
			place, found = placeOf(p.teams, func(t team.Team) string { return t.Name }, name, field)
		case "Services":
			place, found = placeOf(p.services, func(s servc.Service) string { return s.Name }, name, field)
		case "Routes":
			place, found = placeOf(p.routes, func(r route.Route) string { return r.Name }, name, field)
		}
		if found {
			return place
		}
	}
	return diag.Diagnostic{}
}

// placeOf returns the place of a field of the item with this name, and whether there is
// such an item.
func placeOf[T any](items []item[T], nameOf func(T) string, name, field string) (diag.Diagnostic, bool) {
	for _, i := range items {
		if nameOf(i.value) != name {
			continue
		}
		if place, ok := i.places[field]; ok {
			return place, true
		}
		return i.places["Name"], true
	}
	return diag.Diagnostic{}, false
}

// IsConfigFile reports whether a file with this name belongs to the
// configuration.
func IsConfigFile(name string) bool {
	return !strings.HasPrefix(name, ".") &&
		(strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml"))
}

// parsed holds the definitions of one file and the problems found in it alone.
type parsed struct {
	content  []byte
	teams    []item[team.Team]
	services []item[servc.Service]
	routes   []item[route.Route]
	problems []diag.Diagnostic
}

// merger collects the definitions and problems of all files.
type merger struct {
	teams    []item[team.Team]
	services []item[servc.Service]
	routes   []item[route.Route]
	problems []diag.Diagnostic
}

func (m *merger) add(p parsed) {
	m.teams = append(m.teams, p.teams...)
	m.services = append(m.services, p.services...)
	m.routes = append(m.routes, p.routes...)
	m.problems = append(m.problems, p.problems...)
}

// item is one entry of an area, with the places of its fields and of the
// elements of its lists.
type item[T any] struct {
	value  T
	places map[string]diag.Diagnostic
}

// elementKey returns the key of a list element in the places of an item.
func elementKey(list, element string) string {
	return list + "/" + element
}

func values[T any](items []item[T]) []T {
	values := make([]T, 0, len(items))
	for _, i := range items {
		values = append(values, i.value)
	}
	return values
}

func parse(name string, content []byte) parsed {
	p := parsed{content: content}
	r := &reader{file: name, problems: &p.problems}
	for _, e := range r.areas(content) {
		switch e.key {
		case "Teams":
			p.teams = append(p.teams, readList(r, e, teamFields)...)
		case "Services":
			p.services = append(p.services, readList(r, e, serviceFields)...)
		case "Routes":
			p.routes = append(p.routes, readList(r, e, routeFields)...)
		default:
			r.report(e.place, "unknown area %q: use Teams, Services or Routes", e.key)
		}
	}
	return p
}
