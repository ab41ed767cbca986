// Package govern controls the load of a gate: how many requests run at its target
// and the admission threshold for the entries. It also measures the fraction of
// runs that fail.
//
// It does no input or output, so that the gate of a node and the benchmark of
// call chains share this code.
package govern

import (
	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/cutoff"
	"bergamotloom.example/demand"
	"bergamotloom.example/grade"
	"bergamotloom.example/limit"
	"bergamotloom.example/pacer"
	"bergamotloom.example/queue"
	"bergamotloom.example/state"
)

const (
	// minCardRootFraction is the smallest fraction of the target's work for which
	// a root is listed on the card.
	minCardRootFraction = 0.01
	// minFailingFraction is the fraction of failing runs below which 0 is
	// reported.
	minFailingFraction = 0.001
	// failingSmoothingFactor is the weight of a new run in the EWMA of failing
	// runs.
	failingSmoothingFactor = 0.05
	millisPerSecond        = 1000
)

// Governor controls the load of one gate. It isn't safe for concurrent use,
// except for its queue.
type Governor struct {
	clock           clock.Clock
	queue           *queue.Queue
	limit           *limit.Limit
	pacer           *pacer.Pacer
	cutoff          cutoff.Cutoff
	demand          *demand.Demand
	failingFraction float64
	// rate is the target's rate limit in requests per second, 0 if it names none.
	rate float64
	// lastSlots is the capacity in the last tick, in slots.
	lastSlots float64
	// rateChanged says that the rate limit has changed since.
	rateChanged bool
}

// New returns the governor of the queue of a target with this many slots.
func New(c clock.Clock, q *queue.Queue, slots int) *Governor {
	return &Governor{
		clock:  c,
		queue:  q,
		limit:  limit.New(slots),
		pacer:  pacer.New(),
		cutoff: cutoff.Full(),
		demand: demand.New(c.Fine()),
	}
}

// Restart adapts to a new target with this many slots: it discards the measured
// run times and failures and keeps the demand and the threshold. The queue gets
// the new limit at the next ApplyLimit or Tick.
func (g *Governor) Restart(slots int) {
	g.limit = limit.New(slots)
	g.failingFraction = 0
}

// SetBounds sets the rate limit that the target names, in requests per second, and
// how many requests may run at once while it isn't known; 0 is no bound.
func (g *Governor) SetBounds(rate float64, maxRunning int) {
	if rate == 0 && g.rate > 0 {
		// The threshold answered to a capacity that has grown by far.
		g.pacer, g.cutoff = pacer.New(), cutoff.Full()
	}
	g.rateChanged = g.rateChanged || rate != g.rate
	g.rate = rate
	g.queue.SetBounds(rate, maxRunning)
}

// Slots returns how many requests the target can run at once.
func (g *Governor) Slots() int {
	return g.limit.Slots()
}

// RecordArrival adds a request of this grade and root route, weighted with the
// mean run time, to the demand from which the threshold is computed.
func (g *Governor) RecordArrival(priority grade.Grade, root string) {
	g.demand.RecordArrival(priority, root, g.limit.RunMillis())
}

// RecordServed records a run that served its request, with its run time in
// milliseconds, and the time that it would have taken at the target's usual speed. Root
// is the root route of the chain; isCall says that the run was for a call within the
// chain and not for the root request.
func (g *Governor) RecordServed(root string, isCall bool, millis, normalMillis float64) {
	g.updateFailing(0)
	// Root requests and calls take different times, so they're separate kinds.
	if isCall {
		root = "calls of " + root
	}
	g.limit.RecordServed(root, millis, normalMillis, g.clock.Now())
}

// RecordFailed records a run that didn't serve its request, with the
// milliseconds that it held a slot.
func (g *Governor) RecordFailed(millis float64) {
	g.updateFailing(1)
	g.limit.RecordUnserved(millis)
}

// RecordUnknown records a run whose outcome isn't known, with the milliseconds
// that it held a slot: its caller cancelled it or its deadline passed.
func (g *Governor) RecordUnknown(millis float64) {
	g.limit.RecordUnserved(millis)
}

// updateFailing adds a run to the EWMA of failing runs: 1 if it failed, else 0.
func (g *Governor) updateFailing(failed float64) {
	g.failingFraction += (failed - g.failingFraction) * failingSmoothingFactor
	if g.failingFraction < minFailingFraction {
		g.failingFraction = 0
	}
}

// ApplyLimit ends a trial, if one is running, and gives the queue the best limit
// found so far. A gate calls it on each heartbeat of its target.
func (g *Governor) ApplyLimit() {
	g.queue.SetLimit(g.limit.Choose(false, g.clock.Now()), g.limit.RunMillis())
}

// Tick adapts the limit and the threshold, and returns what it decided. It's
// called ten times a second.
func (g *Governor) Tick() state.State {
	running, waiting := g.queue.Load()
	s := state.State{Running: running, Waiting: waiting, Failing: g.failingFraction}
	s.Limit = g.limit.Choose(waiting > 0, g.clock.Now())
	s.RunMillis = g.limit.RunMillis()
	g.queue.SetLimit(s.Limit, s.RunMillis)
	slots := g.usableSlots(float64(s.Limit), s.RunMillis)
	if g.rateChanged && g.rate > 0 && g.lastSlots > 0 {
		g.pacer.Rescale(g.lastSlots / slots)
	}
	g.lastSlots, g.rateChanged = slots, false
	s.Arrived = g.demand.Tick(g.clock.Fine(), slots)
	s.QueueDelayMillis = g.queueDelayMillis(waiting, slots, s.RunMillis)
	g.cutoff = g.pacer.Step(s.Arrived, s.QueueDelayMillis)
	s.Cutoff = g.cutoff
	return s
}

// usableSlots returns how many slots the target needs for as many requests per
// second as its rate limit admits, but at most limit.
func (g *Governor) usableSlots(limit, runMillis float64) float64 {
	if g.rate <= 0 || runMillis <= 0 {
		return limit
	}
	return min(limit, g.rate*runMillis/millisPerSecond)
}

// queueDelayMillis estimates the time to work off the queue. Under a rate limit
// one request may always wait for the next token.
func (g *Governor) queueDelayMillis(waiting int, slots, runMillis float64) float64 {
	delayMillis := float64(waiting) * runMillis / slots
	if g.rate > 0 {
		delayMillis = max(delayMillis, float64(waiting)*millisPerSecond/g.rate) - millisPerSecond/g.rate
	}
	return max(delayMillis, 0)
}

// Describe adds the gate's load, limit and threshold to a node's card.
func (g *Governor) Describe(c card.Card) card.Card {
	c.Running, c.Waiting = g.queue.Load()
	c.Limit = g.limit.Slots()
	c.RunMillis = float32(g.limit.RunMillis())
	c.Failing = float32(g.failingFraction)
	c.Cutoff, c.MinFractionScale = float32(g.cutoff.Grades), float32(g.cutoff.MinFractionScale)
	c.RootFractions = make(map[uint32]float32)
	for root, fraction := range g.demand.RootFractions() {
		if fraction >= minCardRootFraction {
			c.RootFractions[card.Hash(root)] = float32(fraction)
		}
	}
	return c
}
