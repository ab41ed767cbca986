package spill

import (
	"math"
	"sort"
)

const (
	// curvePoints is the number of points of a curve, the last of them at maxUtilization.
	curvePoints    = 48
	maxUtilization = 0.995
	// loadedRunFraction is the fraction of a run time that is added to the latency in
	// another data centre at full use. It spreads requests over those that are equally
	// good.
	loadedRunFraction = 0.1
)

// curve is the latency that one more request causes in a data centre, its own and what it
// adds to that of others, as a function of the load that arrives. Latencies are in multiples
// of the run time and loads in slots; no latency justifies more load than there are slots.
type curve struct {
	loads     [curvePoints + 1]float64
	latencies [curvePoints + 1]float64
}

// set computes the curve of a number of slots in groups of perTarget slots with a queue
// each. In each group the number of waiting requests is that of Sakasegawa's approximation
// of a queue with several servers: with many slots fewer wait at the same utilization.
// Linear is the fraction of a run time that is added to the latency at full use.
func (c *curve) set(slots, perTarget, linear float64) {
	exponent := math.Sqrt(2 * (perTarget + 1))
	for i := range curvePoints + 1 {
		utilization := maxUtilization * float64(i) / curvePoints
		// Waiting is the number of requests that wait for each slot, added its derivative.
		power := math.Pow(utilization, exponent-1) / (1 - utilization) / perTarget
		waiting := power * utilization
		added := power*exponent + waiting/(1-utilization)
		c.loads[i] = slots * utilization
		c.latencies[i] = 1 + added + 2*linear*utilization
	}
}

// load returns the highest load at which the latency is at most that many run times.
func (c *curve) load(latency float64) float64 {
	i := sort.SearchFloat64s(c.latencies[:], latency)
	switch {
	case i == 0:
		return 0
	case i > curvePoints:
		return c.loads[curvePoints]
	}
	part := (latency - c.latencies[i-1]) / (c.latencies[i] - c.latencies[i-1])
	return c.loads[i-1] + part*(c.loads[i]-c.loads[i-1])
}
