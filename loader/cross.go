package loader

import (
	"fmt"
	"slices"

	"bergamotloom.example/diag"
)

// registry remembers where something was defined first.
type registry struct {
	merger *merger
	first  map[string]diag.Diagnostic
}

func (m *merger) newRegistry() registry {
	return registry{merger: m, first: make(map[string]diag.Diagnostic)}
}

// define notes a definition and reports it if there is an earlier one. What
// has no name was reported when it was read.
func (g registry) define(what, name string, at diag.Diagnostic) {
	if name == "" {
		return
	}
	if first, ok := g.first[name]; ok {
		g.merger.report(at, "%s is already defined at %s", what, first.Place())
		return
	}
	g.first[name] = at
}

// knows tells whether the name was defined.
func (g registry) knows(name string) bool {
	_, ok := g.first[name]
	return ok
}

func (m *merger) report(at diag.Diagnostic, format string, args ...any) {
	at.Text = fmt.Sprintf(format, args...)
	m.problems = append(m.problems, at)
}

// checkTeams checks teams and their keys, and returns the teams.
func (m *merger) checkTeams() registry {
	teams, hashes := m.newRegistry(), m.newRegistry()
	for _, t := range m.teams {
		teams.define(fmt.Sprintf("team %q", t.value.Name), t.value.Name, t.places["Name"])
		for _, h := range distinct(t.value.Keys) {
			hashes.define("a key of team "+t.value.Name, h, t.places[elementPlace("Keys", h)])
		}
	}
	return teams
}

// checkServices checks services and returns them.
func (m *merger) checkServices() registry {
	services := m.newRegistry()
	for _, s := range m.services {
		services.define(fmt.Sprintf("service %q", s.value.Name), s.value.Name, s.places["Name"])
	}
	return services
}

func (m *merger) checkRoutes(teams, services registry) {
	routes, matches := m.newRegistry(), m.newRegistry()
	for _, o := range m.routes {
		r := o.value
		routes.define(fmt.Sprintf("route %q", r.Name), r.Name, o.places["Name"])
		matches.define(fmt.Sprintf("a route for %q", r.Match), r.Match, o.places["Match"])
		if r.Service != "" && !services.knows(r.Service) {
			m.report(o.places["Service"], "route %q leads to service %q, which no file defines", r.Name, r.Service)
		}
		for _, t := range distinct(r.Teams) {
			if !teams.knows(t) {
				m.report(o.places[elementPlace("Teams", t)], "route %q lists team %q, which no file defines", r.Name, t)
			}
		}
		if r.OpenToAll && len(r.Teams) > 0 {
			m.report(o.places["OpenToAll"], "route %q is open to all, but lists teams at %s", r.Name, o.places["Teams"].Place())
		}
	}
}

// distinct drops repeats, which were reported when the list was read.
func distinct(all []string) []string {
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
