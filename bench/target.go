package bench

import (
	"math"
	"math/rand/v2"
)

const (
	// coldFactor is the work time of a target right after a cold start as a multiple
	// of the usual one. It falls linearly to 1 within coldStartMillis.
	coldFactor = 4
	// overloadExponent above 1 makes the throughput of a target fall when it runs
	// more requests than it has slots.
	overloadExponent = 1.15
	// workVariation is the fraction by which the work time varies up and down.
	workVariation = 0.5
)

// target simulates a target instance with slots, a work time, and a throughput
// that collapses when it runs more requests than it has slots.
type target struct {
	service         service
	random          *rand.Rand
	running         int
	coldUntilMillis float64
	speed           float64
	broken          bool
}

// accepts reports whether the target has a free connection.
func (t *target) accepts() bool {
	return t.running < t.service.connections
}

// workMillis returns the run time, in milliseconds, of a request that starts
// now.
func (t *target) workMillis(now float64) float64 {
	millis := t.service.workMillis / t.speed
	millis *= 1 - workVariation + 2*workVariation*t.random.Float64()
	if coldLeftMillis := t.coldUntilMillis - now; coldLeftMillis > 0 {
		millis *= 1 + (coldFactor-1)*coldLeftMillis/coldStartMillis
	}
	if utilization := float64(t.running) / float64(t.service.slots); utilization > 1 {
		millis *= math.Pow(utilization, overloadExponent)
	}
	return millis
}
