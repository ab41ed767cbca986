// Package chain plays load patterns on chains of services, on a virtual clock,
// with the decisions of the node beside each target: which requests to let in,
// in which order they run, how many at once, where, and when a refused caller
// should come back. Targets, callers and the network are fakes.
//
// The scarce service stands at the end of a chain of three, and a caller's
// request makes ten calls there.
package chain

import (
	"github.com/pkg/errors"

	"bergamotloom.example/find"
)

// Outcome holds the measures of one pattern under one control. Parts are
// between 0 and 1 and count requests that callers sent while the cause lasted.
type Outcome struct {
	Pattern string
	Control string
	Seed    uint64
	// Worth is what the answers were worth, as a part of what all would have
	// been in time, and Bound the most that any plan could reach.
	Worth float64
	Bound float64
	// Served is the part of each kind of request that was answered, by name.
	Served map[string]float64
	// Late is the part that was answered after its objective.
	Late float64
	// Failed is the part that ended without an answer after a run, Refused
	// without any, Twice after a second refusal.
	Failed  float64
	Refused float64
	Twice   float64
	// Wasted is the part of the targets' time spent on requests that failed.
	Wasted float64
	// TailMillis is the 99th percentile of the latency of answers.
	TailMillis float64
	// Timeline is the worth of each second's requests, as a part.
	Timeline []float64
}

// Run runs the named pattern under the named control.
func Run(name, control string, seed uint64) (Outcome, error) {
	p, ok := find.ByName(patterns(), name, func(p pattern) string { return p.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown pattern %q", name)
	}
	c, ok := find.ByName(controls(), control, func(c policy) string { return c.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown control %q", control)
	}
	w := newWorld(p, c, seed)
	w.play()
	return w.outcome(seed), nil
}

// Patterns returns the names of the load patterns.
func Patterns() []string {
	return find.Names(patterns(), func(p pattern) string { return p.name })
}

// Controls returns the names of the controls, the nodes' own last.
func Controls() []string {
	return find.Names(controls(), func(c policy) string { return c.name })
}
