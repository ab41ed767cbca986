// Package route holds what the configuration says of one route.
package route

import "bergamotloom.example/rank"

// Route leads requests whose path matches to a service. It's a value.
type Route struct {
	// Name identifies the route in the configuration, reports and logs.
	Name string
	// Match is the path that the route takes: exact, or a prefix if it ends
	// in "/*". The longest match wins.
	Match string
	// Methods lists the HTTP methods that the route takes; empty means all.
	Methods []string
	// Service names the service that runs the requests.
	Service string
	// Teams lists the teams that may use the route; empty means all teams.
	Teams []string
	// OpenToAll lets requests without a key in.
	OpenToAll bool
	// Idempotent says that a request may safely run more than once.
	Idempotent bool
	// Rank says how much the route's requests matter under overload.
	Rank rank.Rank
	// TimeoutMillis is the longest time for a whole request, in milliseconds.
	TimeoutMillis int64
	// Retries is the number of retries for one request over its whole chain.
	Retries int
	// BodyLimit is the largest body that the route takes, in bytes; 0 means
	// no limit.
	BodyLimit int64
}

// TakesMethod tells whether the route takes the HTTP method.
func (r Route) TakesMethod(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// AllowsTeam tells whether the team may use the route.
func (r Route) AllowsTeam(team string) bool {
	if len(r.Teams) == 0 {
		return true
	}
	for _, t := range r.Teams {
		if t == team {
			return true
		}
	}
	return false
}
