// Package state holds the load of a gate and the decisions based on it.
package state

import (
	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
)

// State is a gate's load and the decisions of one tick, for logs.
type State struct {
	Limit, Running, Waiting int
	// RunMillis is the mean run time. QueueDelayMillis is the estimated time to
	// work off the whole queue.
	RunMillis, QueueDelayMillis float64
	// Arrived is the work that arrived of each grade, as a fraction of the
	// target's capacity.
	Arrived [grade.Count]float64
	Cutoff  cutoff.Cutoff
	// Failing is the smoothed fraction of runs that fail.
	Failing float64
}
