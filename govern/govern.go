// Package govern decides how much a gate lets in: how many requests run at its
// target, the threshold that entries should keep, and how likely runs fail.
//
// It does no input and output, so that the gate of a node and the bench of
// chains decide by the same code.
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
	// unusedPart of the target's time is the least for which a root is listed.
	unusedPart = 0.01
	// leastFailing is the part of failing runs that counts as none.
	leastFailing = 0.001
	// failSmoothing is the weight of a new run in the mean of those that fail.
	failSmoothing = 0.05
)

// Governor decides for one gate. It isn't safe for concurrent use, but for its
// queue.
type Governor struct {
	clock   clock.Clock
	queue   *queue.Queue
	limit   *limit.Limit
	pacer   *pacer.Pacer
	cutoff  cutoff.Cutoff
	demand  *demand.Demand
	failing float64
}

// New returns the governor of a queue before a target with this many slots.
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

// Restart forgets what was learned of the target's speed, as another one has
// taken its place.
func (g *Governor) Restart(slots int) {
	g.limit = limit.New(slots)
	g.failing = 0
}

// Slots returns the target's slots.
func (g *Governor) Slots() int {
	return g.limit.Slots()
}

// RecordArrival counts a request for the threshold.
func (g *Governor) RecordArrival(r grade.Grade, root string) {
	g.demand.RecordArrival(r, root, g.limit.RunMillis())
}

// RecordServed takes in a run that served its request, for this root or for a call of
// one of its requests.
func (g *Governor) RecordServed(root string, call bool, millis float64) {
	g.fail(0)
	if call {
		root = "calls of " + root
	}
	g.limit.RecordServed(root, millis, g.clock.Now())
}

// RecordFailed takes in a run that didn't serve its request and held a slot for so
// long.
func (g *Governor) RecordFailed(millis float64) {
	g.fail(1)
	g.limit.RecordUnserved(millis)
}

// RecordUnknown takes in a run of which nothing is known but how long it held a slot: its
// caller left, or its time ran out.
func (g *Governor) RecordUnknown(millis float64) {
	g.limit.RecordUnserved(millis)
}

func (g *Governor) fail(part float64) {
	g.failing += (part - g.failing) * failSmoothing
	if g.failing < leastFailing {
		g.failing = 0
	}
}

// ApplyLimit lets the queue run as many requests as are known to be good.
func (g *Governor) ApplyLimit() {
	g.queue.SetLimit(g.limit.Choose(false, g.clock.Now()), g.limit.RunMillis())
}

// Tick adapts the limit and the threshold. It's called ten times a second.
func (g *Governor) Tick() state.State {
	running, waiting := g.queue.Load()
	s := state.State{Running: running, Waiting: waiting, Failing: g.failing}
	s.Limit = g.limit.Choose(waiting > 0, g.clock.Now())
	s.RunMillis = g.limit.RunMillis()
	g.queue.SetLimit(s.Limit, s.RunMillis)
	s.Arrived = g.demand.Tick(g.clock.Fine(), float64(s.Limit))
	s.QueueDelayMillis = float64(waiting) * s.RunMillis / float64(s.Limit)
	g.cutoff = g.pacer.Step(s.Arrived, s.QueueDelayMillis)
	s.Cutoff = g.cutoff
	return s
}

// Describe adds the decisions to a node's card.
func (g *Governor) Describe(c card.Card) card.Card {
	c.Running, c.Waiting = g.queue.Load()
	c.Limit = g.limit.Slots()
	c.RunMillis = float32(g.limit.RunMillis())
	c.Failing = float32(g.failing)
	c.Cutoff, c.Least = float32(g.cutoff.Grades), float32(g.cutoff.MinFractionScale)
	c.Uses = make(map[uint32]float32)
	for root, part := range g.demand.RootFractions() {
		if part >= unusedPart {
			c.Uses[card.Hash(root)] = float32(part)
		}
	}
	return c
}
