package chain

import (
	"math"
	"math/rand/v2"
)

const (
	// spread is the part of the work time that varies.
	spread = 0.3
	// ownQueue is how many times its slots a target queues without a gate.
	ownQueue = 2
	// knee is the part of its slots above which a target slows down, by up to
	// kneeFactor with all of them taken.
	knee       = 0.95
	kneeFactor = 1.3
)

// target is the fake of a target instance.
type target struct {
	random    *rand.Rand
	slots     int
	running   int
	waiting   []*job
	speed     float64
	reject    float64
	coldUntil float64
}

// rejects draws whether a target that isn't well rejects a call.
func (t *target) rejects() bool {
	t.running++
	return t.reject > 0 && t.random.Float64() < t.reject
}

// millis returns how long work takes that begins now.
func (t *target) millis(work, now float64) float64 {
	work *= 1 - spread + 2*spread*t.random.Float64()
	work /= t.speed
	if now < t.coldUntil {
		work /= coldSpeed
	}
	if over := float64(t.running)/float64(t.slots) - knee; over > 0 {
		work *= math.Pow(kneeFactor, over/(1-knee))
	}
	return work
}

// take runs a call that no gate holds back, or queues or rejects it.
func (t *target) take(j *job) {
	switch {
	case t.running < t.slots:
		j.begin()
	case len(t.waiting) < ownQueue*t.slots:
		t.waiting = append(t.waiting, j)
	default:
		j.reply(rejected)
	}
}

// free ends a run and begins the next one.
func (t *target) free() {
	t.running--
	if len(t.waiting) == 0 {
		return
	}
	next := t.waiting[0]
	t.waiting = t.waiting[1:]
	next.begin()
}
