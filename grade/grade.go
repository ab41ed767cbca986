// Package grade orders requests by priority: by the rank of the team first, and
// by the rank of the route second.
package grade

import "bergamotloom.example/rank"

// Grade is the priority of a request; a lower grade is more important.
type Grade int8

// Count is the number of grades.
const Count = rank.Count * rank.Count

// New returns the grade of a team's request to a route. If ranked is false, the
// team has no rank and counts as Normal.
func New(team rank.Rank, ranked bool, route rank.Rank) Grade {
	if !ranked {
		team = rank.Normal
	}
	return Grade(int(team)*rank.Count + int(route))
}

// RouteRank returns the rank of the request's route.
func (g Grade) RouteRank() rank.Rank {
	return rank.Rank(g % rank.Count)
}
