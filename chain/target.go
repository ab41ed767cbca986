package chain

import (
	"math"
	"math/rand/v2"
)

const (
	// workVariation is the fraction by which the work time varies up and down.
	workVariation = 0.3
	// targetQueueFactor is the length of a target's own queue, which it uses without
	// a gate, as a multiple of its slots.
	targetQueueFactor = 2
	// kneeUtilization is the utilization of its slots above which a target slows
	// down, by kneeFactor when all of them are taken.
	kneeUtilization = 0.95
	kneeFactor      = 1.3
)

// target simulates a target instance.
type target struct {
	random          *rand.Rand
	slots           int
	running         int
	waiting         []*job
	speed           float64
	rejectFraction  float64
	coldUntilMillis float64
}

// rejects takes a slot and reports whether a degraded target rejects the call.
func (t *target) rejects() bool {
	t.running++
	return t.rejectFraction > 0 && t.random.Float64() < t.rejectFraction
}

// runMillis returns the run time, in milliseconds, of work that starts now.
func (t *target) runMillis(workMillis, now float64) float64 {
	workMillis *= 1 - workVariation + 2*workVariation*t.random.Float64()
	workMillis /= t.speed
	if now < t.coldUntilMillis {
		workMillis /= coldSpeed
	}
	if excess := float64(t.running)/float64(t.slots) - kneeUtilization; excess > 0 {
		workMillis *= math.Pow(kneeFactor, excess/(1-kneeUtilization))
	}
	return workMillis
}

// offer runs a call that passed no gate, or queues or rejects it.
func (t *target) offer(j *job) {
	switch {
	case t.running < t.slots:
		j.start()
	case len(t.waiting) < targetQueueFactor*t.slots:
		t.waiting = append(t.waiting, j)
	default:
		j.reply(rejected)
	}
}

// release frees the slot of a call and starts the next queued one.
func (t *target) release() {
	t.running--
	if len(t.waiting) == 0 {
		return
	}
	next := t.waiting[0]
	t.waiting = t.waiting[1:]
	next.start()
}
