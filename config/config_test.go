package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/config"
	"bergamotloom.example/route"
)

// linearRoute finds a route by comparing the path with all of them.
func linearRoute(c *config.Config, path string) string {
	found, longest := "", -1
	for _, r := range c.Routes() {
		if r.Match == path {
			return r.Name
		}
		prefix, isPrefix := strings.CutSuffix(r.Match, "*")
		if isPrefix && strings.HasPrefix(path, prefix) && len(prefix) > longest {
			found, longest = r.Name, len(prefix)
		}
	}
	return found
}

func TestRouteIsExactMatchOrLongestPrefix(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){0,4}`)
	rapid.Check(t, func(t *rapid.T) {
		matches := rapid.SliceOfNDistinct(rapid.StringMatching(`(/[ab]{1,2}){0,3}(/\*|/[ab])`), 0, 12, rapid.ID).Draw(t, "matches")
		var routes []route.Route
		for _, m := range matches {
			routes = append(routes, route.Route{Name: m, Match: m})
		}
		c := config.New(1, nil, nil, routes)
		for range 10 {
			p := path.Draw(t, "path")
			found, ok := c.Route(p)
			assert.Equal(t, found.Name, linearRoute(c, p), p)
			assert.Equal(t, ok, found.Name != "")
		}
	})
}
