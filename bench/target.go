package bench

import (
	"math"
	"math/rand/v2"
)

const (
	// coldFactor is how much slower a cold target is at its start.
	coldFactor = 4
	// thrashPower makes a target that runs more than its slots slower by more
	// than its share, so that its throughput falls.
	thrashPower = 1.15
	// spread is the part of the work time that varies.
	spread = 0.5
)

// target is the fake of a target instance: so many slots, a work time, and a
// collapse when it runs more than it can.
type target struct {
	service   service
	random    *rand.Rand
	running   int
	coldUntil float64
	speed     float64
	broken    bool
}

// accepts tells whether the target has a connection left.
func (t *target) accepts() bool {
	return t.running < t.service.connections
}

// workMillis returns how long the target works on a request that starts now.
func (t *target) workMillis(now float64) float64 {
	work := t.service.workMillis / t.speed
	work *= 1 - spread + 2*spread*t.random.Float64()
	if left := t.coldUntil - now; left > 0 {
		work *= 1 + (coldFactor-1)*left/coldMillis
	}
	if over := float64(t.running) / float64(t.service.slots); over > 1 {
		work *= math.Pow(over, thrashPower)
	}
	return work
}
