// Package route holds the configuration of one route.
package route

import (
	"bergamotloom.example/part"
	"bergamotloom.example/rank"
)

// MaxPathBytes is the longest request target, with its query, that entries accept.
const MaxPathBytes = 8 * 1024

// Route sends requests with a matching path to a service. It's a value.
type Route struct {
	// Name identifies the route in the configuration, reports and logs.
	Name string
	// Match is the path that the route matches: exact, or a prefix if it ends
	// in "/*". The longest match wins.
	Match string
	// Host is the host that the route matches; empty means any.
	Host string
	// Methods lists the HTTP methods that the route accepts; empty means all.
	Methods []string
	// Service names the service that runs the requests.
	Service string
	// Parts splits the requests between services by weight; if it isn't empty,
	// Service is.
	Parts []part.Part
	// Teams lists the teams that may use the route; empty means all teams.
	Teams []string
	// OpenToAll admits requests without an API key.
	OpenToAll bool
	// Idempotent is true if a request may safely run more than once.
	Idempotent bool
	// Rank is the importance of the route's requests under overload.
	Rank rank.Rank
	// TimeoutMillis is the longest time for a whole request, in milliseconds.
	TimeoutMillis int64
	// ObjectiveMillis is the latency within which a response is most useful to
	// the caller, in milliseconds; 0 means that there's no objective.
	ObjectiveMillis int64
	// Attempts bounds the retries in package outbnd: a request that may have
	// run is retried only after fewer attempts than this.
	Attempts int
	// Retries is the maximum number of retries of one request over its whole
	// chain of calls.
	Retries int
	// BodyLimit is the maximum size of a request body, in bytes; 0 means
	// no limit.
	BodyLimit int64
}

// TakesMethod tells whether the route accepts the HTTP method.
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
