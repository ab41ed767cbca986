// Package loader makes a configuration from the contents of its files.
//
// Files are merged in the order of their names. Everything doubtful is a
// problem: unknown fields, values that can't be meant, names that nothing
// defines, and the same thing defined twice. All problems are found at once.
package loader

import (
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

// Load merges the files, which are contents by name, into the configuration
// with the given version. It returns either that or all problems in the order
// of their places.
func Load(version int64, files map[string][]byte) (*config.Config, []diag.Diagnostic) {
	m := &merger{}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		m.add(name, files[name])
	}
	teams, services := m.checkTeams(), m.checkServices()
	m.checkRoutes(teams, services)
	if len(m.problems) > 0 {
		diag.Sort(m.problems)
		return nil, m.problems
	}
	return config.New(version, values(m.teams), values(m.services), values(m.routes)), nil
}

// TakesName tells whether a file of this name belongs to the configuration.
func TakesName(name string) bool {
	return !strings.HasPrefix(name, ".") &&
		(strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml"))
}

// merger collects what the files define and what is wrong with them.
type merger struct {
	teams    []item[team.Team]
	services []item[servc.Service]
	routes   []item[route.Route]
	problems []diag.Diagnostic
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

func (m *merger) add(name string, content []byte) {
	r := &reader{file: name, problems: &m.problems}
	for _, e := range r.areas(content) {
		switch e.key {
		case "Teams":
			m.teams = append(m.teams, readList(r, e, teamFields)...)
		case "Services":
			m.services = append(m.services, readList(r, e, serviceFields)...)
		case "Routes":
			m.routes = append(m.routes, readList(r, e, routeFields)...)
		default:
			r.report(e.place, "unknown area %q: use Teams, Services or Routes", e.key)
		}
	}
}
