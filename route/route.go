// Package route holds what the configuration says of one route.
package route

import (
	"bergamotloom.example/part"
	"bergamotloom.example/rank"
)

// Route leads requests whose path matches to a service. It's a value.
type Route struct {
	// Name identifies the route in the configuration, reports and logs.
	Name string
	// Match is the path that the route takes: exact, or a prefix if it ends
	// in "/*". The longest match wins.
	Match string
	// Host is the host that the route takes; empty means any.
	Host string
	// Methods lists the HTTP methods that the route takes; empty means all.
	Methods []string
	// Service names the service that runs the requests.
	Service string
	// Parts splits the requests between services by weight; if it isn't empty,
	// Service is.
	Parts []part.Part
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
	// ObjectiveMillis is the time within which an answer is worth most to the
	// caller, in milliseconds; 0 means that there's no objective.
	ObjectiveMillis int64
	// Attempts is the number of instances that one request may be sent to; 0
	// leaves it to Retries.
	Attempts int
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
