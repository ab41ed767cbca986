// Package config holds one version of the configuration, indexed for look-ups
// on the request path.
package config

import (
	"sort"
	"strings"

	"bergamotloom.example/route"
	"bergamotloom.example/servc"
	"bergamotloom.example/team"
)

const wildcardSuffix = "/*"

// Config is one version of the configuration. It's immutable and safe for many
// goroutines.
type Config struct {
	version  int64
	teams    map[string]team.Team
	services map[string]servc.Service
	// teamByKeyHash holds the names of teams by the hashes of their API keys.
	teamByKeyHash map[string]string
	// exact holds the routes without a wildcard.
	exact map[hostPath]route.Route
	// prefixes holds routes by their path prefix, including the last "/";
	// maxPrefixBytes is the length of the longest one.
	prefixes       map[hostPath]route.Route
	maxPrefixBytes int
	// idleMillis is how long callers' connections may be idle, or 0 if unset.
	idleMillis int64
}

// hostPath is the host of a route, empty for any host, and its path.
type hostPath struct {
	host string
	path string
}

// New builds a configuration. The version counts accepted changes from 1;
// version 0 is the empty configuration before the first change.
func New(version int64, teams []team.Team, services []servc.Service, routes []route.Route) *Config {
	c := &Config{
		version:       version,
		teams:         make(map[string]team.Team, len(teams)),
		services:      make(map[string]servc.Service, len(services)),
		teamByKeyHash: make(map[string]string),
		exact:         make(map[hostPath]route.Route),
		prefixes:      make(map[hostPath]route.Route),
	}
	for _, t := range teams {
		c.addTeam(t)
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		c.addRoute(r)
	}
	return c
}

func (c *Config) addTeam(t team.Team) {
	c.teams[t.Name] = t
	for _, k := range t.Keys {
		c.teamByKeyHash[k] = t.Name
	}
}

func (c *Config) addRoute(r route.Route) {
	if strings.HasSuffix(r.Match, wildcardSuffix) {
		prefix := strings.TrimSuffix(r.Match, "*")
		c.prefixes[hostPath{r.Host, prefix}] = r
		c.maxPrefixBytes = max(c.maxPrefixBytes, len(prefix))
		return
	}
	c.exact[hostPath{r.Host, r.Match}] = r
}

// WithIdleMillis returns the configuration with the time for which callers'
// connections may be idle, in milliseconds.
func (c *Config) WithIdleMillis(millis int64) *Config {
	changed := *c
	changed.idleMillis = millis
	return &changed
}

// IdleMillis returns how long callers' connections may be idle, in
// milliseconds, or 0 if the configuration doesn't set it.
func (c *Config) IdleMillis() int64 {
	return c.idleMillis
}

// Version returns the version, the number of the last accepted change.
func (c *Config) Version() int64 {
	return c.version
}

// Route returns the route for any host that matches the path: an exact match,
// or else the longest matching prefix.
func (c *Config) Route(path string) (route.Route, bool) {
	return c.RouteOn("", path)
}

// RouteOn is like Route, but for the routes of one host. It doesn't fall back
// to routes for any host.
func (c *Config) RouteOn(host, path string) (route.Route, bool) {
	if r, ok := c.exact[hostPath{host, path}]; ok {
		return r, true
	}
	path = path[:min(len(path), c.maxPrefixBytes)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := c.prefixes[hostPath{host, path[:end+1]}]; ok {
			return r, true
		}
	}
	return route.Route{}, false
}

// TeamOfKey returns the team that has the API key with this hash.
func (c *Config) TeamOfKey(hash string) (team.Team, bool) {
	name, ok := c.teamByKeyHash[hash]
	if !ok {
		return team.Team{}, false
	}
	return c.Team(name)
}

// Team returns the team with this name.
func (c *Config) Team(name string) (team.Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Service returns the service with this name.
func (c *Config) Service(name string) (servc.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Teams returns all teams, sorted by name.
func (c *Config) Teams() []team.Team {
	teams := make([]team.Team, 0, len(c.teams))
	for _, t := range c.teams {
		teams = append(teams, t)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].Name < teams[j].Name })
	return teams
}

// Services returns all services, sorted by name.
func (c *Config) Services() []servc.Service {
	services := make([]servc.Service, 0, len(c.services))
	for _, s := range c.services {
		services = append(services, s)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}

// Routes returns all routes, sorted by name.
func (c *Config) Routes() []route.Route {
	routes := make([]route.Route, 0, len(c.exact)+len(c.prefixes))
	for _, r := range c.exact {
		routes = append(routes, r)
	}
	for _, r := range c.prefixes {
		routes = append(routes, r)
	}
	sort.Slice(routes, func(i, j int) bool { return routes[i].Name < routes[j].Name })
	return routes
}
