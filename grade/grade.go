// Package grade orders requests by how much they matter: the rank of the team
// goes first, and among teams of one rank that of the route.
package grade

import "bergamotloom.example/rank"

// Grade is a place in that order; lower ones matter more.
type Grade int8

// Count is the number of grades.
const Count = rank.Count * rank.Count

// New returns the grade of a team's request by a route. A team without a rank
// counts as Normal.
func New(team rank.Rank, ranked bool, route rank.Rank) Grade {
	if !ranked {
		team = rank.Normal
	}
	return Grade(int(team)*rank.Count + int(route))
}

// Route returns the rank of the route.
func (g Grade) Route() rank.Rank {
	return rank.Rank(g % rank.Count)
}
