// Package config holds one whole version of the configuration, ready for
// look-ups on the request path.
package config

import (
	"sort"
	"strings"

	"bergamotloom.example/route"
	"bergamotloom.example/servc"
	"bergamotloom.example/team"
)

const prefixMark = "/*"

// Config is one version of the configuration. It's immutable: a change makes a
// new value. All look-ups are safe for many goroutines at once.
type Config struct {
	version  int64
	teams    map[string]team.Team
	services map[string]servc.Service
	keys     map[string]string
	exact    map[place]route.Route
	// prefixes are by what their paths begin with, "/" included; longest is
	// the length of the longest of these, in bytes.
	prefixes map[place]route.Route
	longest  int
	// idleMillis is how long callers' connections may be idle.
	idleMillis int64
}

// place is where a route begins: its host, empty for any, and its path.
type place struct {
	host string
	path string
}

// New builds a configuration. Version counts accepted changes from 1; version
// 0 is the empty configuration before the first one.
func New(version int64, teams []team.Team, services []servc.Service, routes []route.Route) *Config {
	c := &Config{
		version:  version,
		teams:    make(map[string]team.Team, len(teams)),
		services: make(map[string]servc.Service, len(services)),
		keys:     make(map[string]string),
		exact:    make(map[place]route.Route),
		prefixes: make(map[place]route.Route),
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
		c.keys[k] = t.Name
	}
}

func (c *Config) addRoute(r route.Route) {
	if strings.HasSuffix(r.Match, prefixMark) {
		stem := strings.TrimSuffix(r.Match, "*")
		c.prefixes[place{r.Host, stem}] = r
		c.longest = max(c.longest, len(stem))
		return
	}
	c.exact[place{r.Host, r.Match}] = r
}

// WithIdle returns the configuration with the time for which callers may keep
// idle connections, in milliseconds.
func (c *Config) WithIdle(millis int64) *Config {
	changed := *c
	changed.idleMillis = millis
	return &changed
}

// IdleMillis returns for how long callers may keep idle connections, or 0 if
// the configuration doesn't say.
func (c *Config) IdleMillis() int64 {
	return c.idleMillis
}

// Version returns the number of the accepted change that made this value.
func (c *Config) Version() int64 {
	return c.version
}

// Route returns the route of any host that matches the path: an exact match
// first, else the longest prefix.
func (c *Config) Route(path string) (route.Route, bool) {
	return c.RouteOn("", path)
}

// RouteOn returns the route of this host that matches the path, as Route does.
func (c *Config) RouteOn(host, path string) (route.Route, bool) {
	if r, ok := c.exact[place{host, path}]; ok {
		return r, true
	}
	path = path[:min(len(path), c.longest)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := c.prefixes[place{host, path[:end+1]}]; ok {
			return r, true
		}
	}
	return route.Route{}, false
}

// TeamOfKey returns the team that holds the key with this hash.
func (c *Config) TeamOfKey(hash string) (team.Team, bool) {
	name, ok := c.keys[hash]
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

// Teams returns all teams in the order of their names.
func (c *Config) Teams() []team.Team {
	all := make([]team.Team, 0, len(c.teams))
	for _, t := range c.teams {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Services returns all services in the order of their names.
func (c *Config) Services() []servc.Service {
	all := make([]servc.Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Routes returns all routes in the order of their names.
func (c *Config) Routes() []route.Route {
	all := make([]route.Route, 0, len(c.exact)+len(c.prefixes))
	for _, r := range c.exact {
		all = append(all, r)
	}
	for _, r := range c.prefixes {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
