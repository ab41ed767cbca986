// Package loader makes a configuration from the contents of its files.
//
// Files are merged in the order of their names. Everything doubtful is a
// problem: unknown fields, values that can't be meant, names that nothing
// defines, and the same thing defined twice. All problems are found at once.
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

// Loader loads one version after the other and reads only those files again
// that have changed. It's for one goroutine at a time.
type Loader struct {
	known map[string]parsed
}

// New returns a loader that has seen no files.
func New() *Loader {
	return &Loader{known: make(map[string]parsed)}
}

// Load merges the files, which are contents by name, into the configuration
// with the given version. It returns either that or all problems in the order
// of their places.
func (l *Loader) Load(version int64, files map[string][]byte) (*config.Config, []diag.Diagnostic) {
	m := &merger{}
	known := make(map[string]parsed, len(files))
	for _, name := range slices.Sorted(maps.Keys(files)) {
		p, ok := l.known[name]
		if !ok || !bytes.Equal(p.content, files[name]) {
			p = parse(name, files[name])
		}
		known[name] = p
		m.add(p)
	}
	l.known = known
	teams, services := m.checkTeams(), m.checkServices()
	m.checkRoutes(teams, services)
	if len(m.problems) > 0 {
		diag.Sort(m.problems)
		return nil, m.problems
	}
	return config.New(version, values(m.teams), values(m.services), values(m.routes)), nil
}

// IsConfigFile tells whether a file with this name belongs to the configuration.
func IsConfigFile(name string) bool {
	return !strings.HasPrefix(name, ".") &&
		(strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml"))
}

// parsed is what one file defines and what is wrong in it alone.
type parsed struct {
	content  []byte
	teams    []item[team.Team]
	services []item[servc.Service]
	routes   []item[route.Route]
	problems []diag.Diagnostic
}

// merger collects what all files define and what is wrong with them together.
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

// item is one entry of an area with the places of its fields and of the
// elements of its lists.
type item[T any] struct {
	value  T
	places map[string]diag.Diagnostic
}

// elementPlace is the name under which an element of a list has its place.
func elementPlace(list, element string) string {
	return list + "/" + element
}

func values[T any](items []item[T]) []T {
	all := make([]T, 0, len(items))
	for _, i := range items {
		all = append(all, i.value)
	}
	return all
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
