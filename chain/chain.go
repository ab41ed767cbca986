// Package chain simulates load patterns on chains of services, on a virtual
// clock. It runs the decisions of the node beside each target: which requests to
// admit, in which order and how many at once to run, at which instance, and when
// a refused caller should retry. Targets, callers and the network are simulated.
//
// The scarce service is at the end of a chain of three services, and most
// callers' requests make ten calls there.
package chain

import (
	"github.com/pkg/errors"

	"bergamotloom.example/find"
)

// Outcome holds the measures of one pattern under one control. Fractions are
// between 0 and 1 and count requests that callers sent during the disturbance.
type Outcome struct {
	Pattern string
	Control string
	Seed    uint64
	// Worth is the sum of the worth of all responses, as a fraction of the worth if
	// all requests were served within their objective. Each kind of request has its
	// worth to the caller. Bound is an upper bound on it under any control.
	Worth float64
	Bound float64
	// Served is the served fraction of each kind of request, by name.
	Served map[string]float64
	// Late is the fraction that was served after its objective.
	Late float64
	// Failed is the fraction that failed after a run or at its timeout, Refused
	// the fraction whose last attempt was refused, and Twice the fraction that was
	// refused twice.
	Failed  float64
	Refused float64
	Twice   float64
	// Wasted is the fraction of the targets' time spent on failed attempts, over the
	// whole run.
	Wasted float64
	// TailMillis is the 99th percentile of the latency of responses.
	TailMillis float64
	// Timeline is the worth of the requests of each second of the whole run, as a
	// fraction like Worth.
	Timeline []float64
}

// Run simulates the named pattern under the named control. A name that isn't
// known is an error.
func Run(patternName, controlName string, seed uint64) (Outcome, error) {
	p, ok := find.ByName(patterns(), patternName, func(p pattern) string { return p.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown pattern %q", patternName)
	}
	c, ok := find.ByName(controls(), controlName, func(c policy) string { return c.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown control %q", controlName)
	}
	w := newWorld(p, c, seed)
	w.run()
	return w.outcome(seed), nil
}

// Patterns returns the names of the load patterns.
func Patterns() []string {
	return find.Names(patterns(), func(p pattern) string { return p.name })
}

// Controls returns the names of the controls; that of the nodes comes last.
func Controls() []string {
	return find.Names(controls(), func(c policy) string { return c.name })
}
