// Package state holds what a governor measured and decided in one tick.
package state

import (
	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
)

// State is a gate's load and the decisions of one tick, for logs.
type State struct {
	// Limit is how many requests may run at once. Running and Waiting are the
	// numbers of running and of queued requests.
	Limit, Running, Waiting int
	// RunMillis is the mean run time. QueueDelayMillis is the estimated time to
	// work off the whole queue.
	RunMillis, QueueDelayMillis float64
	// Arrived is the work of each grade that arrived since the previous tick, as a
	// fraction of the target's capacity in that time.
	Arrived [grade.Count]float64
	Cutoff  cutoff.Cutoff
	// Failing is the EWMA of the fraction of runs that fail.
	Failing float64
}
