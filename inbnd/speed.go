package inbnd

import (
	"bergamotloom.example/advice"
	"bergamotloom.example/card"
)

// learnSpeed takes in what the response of a run says about the speed of the target. The
// mutex must be held.
func (g *Gate) learnSpeed(a advice.Advice) {
	g.speed.Learn(a.Slowness)
	if a.Slowness <= 0 || a.Slots == g.governor.Slots() {
		return
	}
	// The slots of the heartbeat stay in force.
	if now := g.clock.Now(); g.slotsLoggedAt == 0 || now-g.slotsLoggedAt >= malformedLogMillis {
		g.slotsLoggedAt = now
		g.log.Warn("gate: a response of the target contradicts its heartbeat", "Target", g.target.Target, "Slots", a.Slots, "HeartbeatSlots", g.governor.Slots())
	}
}

// describeSpeed adds the current speed of the target to the node's card, which has the
// mean run time already. The mutex must be held.
func (g *Gate) describeSpeed(c card.Card) card.Card {
	g.speed.Rebase()
	c.Slowness = float32(g.slowness())
	return c
}

// Slowness returns the current run time at the target in relation to the mean run time
// on the last card: 2 means twice as long. It's 0 if the target doesn't report its speed.
func (g *Gate) Slowness() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.slowness()
}

// slowness is Slowness with the mutex held.
func (g *Gate) slowness() float64 {
	if !g.speed.Known() {
		return 0
	}
	return g.speed.Factor()
}
