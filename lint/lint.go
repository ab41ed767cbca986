// Package lint finds entries of a valid configuration that have no effect or contradict
// each other.
//
// Some mistakes can't occur in a valid configuration, so nothing looks for them. No
// route hides another one: two routes with the same Match are an error, and a prefix has
// paths that no longer prefix covers. Retries have an effect without Idempotent, as a
// request that certainly didn't run is retried too, and so are the calls that it causes.
package lint

import (
	"fmt"
	"strings"

	"bergamotloom.example/config"
	"bergamotloom.example/diag"
	"bergamotloom.example/route"
	"bergamotloom.example/team"
)

const (
	teamsArea    = "Teams"
	servicesArea = "Services"
	routesArea   = "Routes"

	// minBurstMillis is the time whose requests at the team's rate the burst must cover.
	// Tokens on their way to a node count against the burst, so that a team with a smaller
	// one gets less than its rate even at a single node.
	minBurstMillis  = 10
	millisPerSecond = 1000
)

// Lint examines one version of the configuration.
type Lint struct {
	config *config.Config
	place  func(area, name, field string) diag.Diagnostic
}

// New returns a Lint of a valid configuration. Place returns the place of a field of an
// entry, as loader.Place does.
func New(c *config.Config, place func(area, name, field string) diag.Diagnostic) Lint {
	return Lint{config: c, place: place}
}

// Findings returns all findings, ordered by place. The files may be a part of a
// configuration, whose other files are kept elsewhere: without any route no team or
// service counts as unused, and without any team no route counts as closed to all.
func (l Lint) Findings() []diag.Diagnostic {
	var findings []diag.Diagnostic
	for _, t := range l.config.Teams() {
		findings = append(findings, l.checkTeam(t)...)
	}
	for _, r := range l.config.Routes() {
		findings = append(findings, l.checkRoute(r)...)
	}
	findings = append(findings, l.checkServices()...)
	diag.Sort(findings)
	return findings
}

func (l Lint) finding(area, name, field, format string, args ...any) diag.Diagnostic {
	d := l.place(area, name, field)
	d.Text = fmt.Sprintf(format, args...)
	return d
}

func (l Lint) checkTeam(t team.Team) []diag.Diagnostic {
	var findings []diag.Diagnostic
	report := func(field, format string, args ...any) {
		findings = append(findings, l.finding(teamsArea, t.Name, field, format, args...))
	}
	if len(t.Keys) == 0 {
		report("Name", "team %q has no key, so it can't send requests", t.Name)
	}
	if needed := t.Rate * minBurstMillis / millisPerSecond; t.Burst < needed {
		// Package bucket counts granted tokens as part of the burst until they're used.
		report("Burst", "team %q gets less than its Rate at one node: Burst %g is below the %g requests that the Rate gives in %dms, and tokens on their way to the node count against it",
			t.Name, t.Burst, needed, minBurstMillis)
	}
	needsKey, usesOpen := l.routesOf(t)
	switch {
	case needsKey || len(l.config.Routes()) == 0:
	case !usesOpen:
		report("Name", "team %q can't use any route: all of them list other teams", t.Name)
	case len(t.Keys) > 0:
		report("Keys", "no route needs the keys of team %q: the only routes that it may use are open to all", t.Name)
	}
	return findings
}

// routesOf reports whether the team may use routes that need a key, and whether there
// are routes that need none.
func (l Lint) routesOf(t team.Team) (needsKey, usesOpen bool) {
	for _, r := range l.config.Routes() {
		usesOpen = usesOpen || r.OpenToAll
		needsKey = needsKey || !r.OpenToAll && r.AllowsTeam(t.Name)
	}
	return needsKey, usesOpen
}

func (l Lint) checkRoute(r route.Route) []diag.Diagnostic {
	var findings []diag.Diagnostic
	if bytes := len(strings.TrimSuffix(r.Match, "*")); bytes > route.MaxPathBytes {
		findings = append(findings, l.finding(routesArea, r.Name, "Match",
			"route %q can never match: its Match has %d bytes, and nodes refuse request targets above %d", r.Name, bytes, route.MaxPathBytes))
	}
	if !r.OpenToAll && len(l.config.Teams()) > 0 && !l.isUsedByKey(r) {
		who := "no team"
		if len(r.Teams) > 0 {
			who = "none of its teams"
		}
		// Calls of targets need no key, whatever the route's teams.
		findings = append(findings, l.finding(routesArea, r.Name, "Teams",
			"no caller can use route %q: %s has a key; only calls that targets make for a request reach it", r.Name, who))
	}
	return findings
}

// isUsedByKey reports whether a team with a key may use the route.
func (l Lint) isUsedByKey(r route.Route) bool {
	for _, t := range l.config.Teams() {
		if len(t.Keys) > 0 && r.AllowsTeam(t.Name) {
			return true
		}
	}
	return false
}

func (l Lint) checkServices() []diag.Diagnostic {
	routes := l.config.Routes()
	if len(routes) == 0 {
		return nil
	}
	used := make(map[string]bool, len(routes))
	for _, r := range routes {
		used[r.Service] = true
		for _, p := range r.Parts {
			used[p.Service] = true
		}
	}
	var findings []diag.Diagnostic
	for _, s := range l.config.Services() {
		if !used[s.Name] {
			findings = append(findings, l.finding(servicesArea, s.Name, "Name", "no route leads to service %q", s.Name))
		}
	}
	return findings
}
