// Package state holds what a step of a gate's decisions went by.
package state

import (
	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
)

// State is a gate's load and what was decided on it, for logs.
type State struct {
	Limit, Running, Waiting int
	// RunMillis is the mean time of a run, QueueDelayMillis that of the whole line.
	RunMillis, QueueDelayMillis float64
	// Arrived is the work that arrived of each grade, in parts of what the
	// target could do.
	Arrived [grade.Count]float64
	Cutoff  cutoff.Cutoff
	Failing float64
}
