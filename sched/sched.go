// Package sched computes the start order of the requests that are queued for a
// target.
package sched

import "bergamotloom.example/grade"

const (
	// rankDelayMillis is the delay of the start time for each rank by which the
	// route is below the most important one.
	rankDelayMillis = 100
	// overdueMillis replaces the negative time to the objective of an overdue
	// request. It's several times the usual queueing delay.
	overdueMillis = 150
)

// StartMillis returns in how many milliseconds a request should start; a gate
// starts queued requests in this order. ObjectiveMillis is the time left to the
// objective of the root request, also for calls, so that a chain that began
// earlier waits once and not at each of its calls. Overdue requests go after
// those that can still meet their objectives: otherwise, once the queue has grown
// long, overdue requests make all others overdue too.
func StartMillis(objectiveMillis float64, g grade.Grade) float64 {
	if objectiveMillis < 0 {
		objectiveMillis = overdueMillis
	}
	return StartMillisByObjective(objectiveMillis, g)
}

// StartMillisByObjective is StartMillis without the rule for overdue requests.
func StartMillisByObjective(objectiveMillis float64, g grade.Grade) float64 {
	return objectiveMillis + float64(g.RouteRank())*rankDelayMillis
}
