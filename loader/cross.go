package loader

import (
	"fmt"
	"slices"

	"bergamotloom.example/diag"
)

// registry holds the first definition of each name of one kind.
type registry struct {
	merger *merger
	places map[string]diag.Diagnostic
}

func (m *merger) newRegistry() registry {
	return registry{merger: m, places: make(map[string]diag.Diagnostic)}
}

// define adds a definition, or reports a duplicate. An empty
// name was already reported by the reader.
func (g registry) define(description, name string, at diag.Diagnostic) {
	if name == "" {
		return
	}
	if first, ok := g.places[name]; ok {
		g.merger.report(at, "%s is already defined at %s", description, first.Place())
		return
	}
	g.places[name] = at
}

// has reports whether the name is defined.
func (g registry) has(name string) bool {
	_, ok := g.places[name]
	return ok
}

func (m *merger) report(at diag.Diagnostic, format string, args ...any) {
	at.Text = fmt.Sprintf(format, args...)
	m.problems = append(m.problems, at)
}

// checkTeams checks that teams and their keys are unique, and returns the
// teams.
func (m *merger) checkTeams() registry {
	teams, hashes := m.newRegistry(), m.newRegistry()
	for _, t := range m.teams {
		teams.define(fmt.Sprintf("team %q", t.value.Name), t.value.Name, t.places["Name"])
		for _, h := range distinct(t.value.Keys) {
			hashes.define("a key of team "+t.value.Name, h, t.places[elementKey("Keys", h)])
		}
	}
	return teams
}

// checkServices checks that services are unique, and returns them.
func (m *merger) checkServices() registry {
	services := m.newRegistry()
	for _, s := range m.services {
		services.define(fmt.Sprintf("service %q", s.value.Name), s.value.Name, s.places["Name"])
	}
	return services
}

// checkRoutes checks that routes are unique and that what they refer to is
// defined.
func (m *merger) checkRoutes(teams, services registry) {
	routes, matches := m.newRegistry(), m.newRegistry()
	for _, o := range m.routes {
		r := o.value
		routes.define(fmt.Sprintf("route %q", r.Name), r.Name, o.places["Name"])
		matches.define(fmt.Sprintf("a route for %q", r.Match), r.Match, o.places["Match"])
		if r.Service != "" && !services.has(r.Service) {
			m.report(o.places["Service"], "route %q leads to service %q, which no file defines", r.Name, r.Service)
		}
		for _, t := range distinct(r.Teams) {
			if !teams.has(t) {
				m.report(o.places[elementKey("Teams", t)], "route %q lists team %q, which no file defines", r.Name, t)
			}
		}
		if r.OpenToAll && len(r.Teams) > 0 {
			m.report(o.places["OpenToAll"], "route %q is open to all, but lists teams at %s", r.Name, o.places["Teams"].Place())
		}
	}
}

// distinct removes duplicates, which were already reported by the reader.
func distinct(elements []string) []string {
	sorted := slices.Clone(elements)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
