// Package sched orders the requests that wait for a target.
package sched

import "bergamotloom.example/grade"

const (
	// rankMillis is by how much a less important rank is due later.
	rankMillis = 100
	// overdueMillis is how far off the objective of a request counts that has
	// missed it: several waits in a line of usual length.
	overdueMillis = 150
)

// StartMillis is in how long a request should begin, by which a gate orders those
// that wait. GoalMillis is the time left to the objective of the caller's
// request, also for calls, so that a chain that began earlier waits once and not
// at each of its calls. One that has missed its objective goes after those that
// can still meet theirs: else, when the line has grown long once, late requests
// make all others late too.
func StartMillis(goalMillis float64, g grade.Grade) float64 {
	if goalMillis < 0 {
		goalMillis = overdueMillis
	}
	return StartMillisByObjective(goalMillis, g)
}

// StartMillisByObjective is Millis without the rule for those that missed their objective.
func StartMillisByObjective(goalMillis float64, g grade.Grade) float64 {
	return goalMillis + float64(g.Route())*rankMillis
}
