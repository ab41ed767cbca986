package gate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/gate"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
	"bergamotloom.example/reason"
	"bergamotloom.example/ticket"
)

// distantDeadlineMillis is a deadline that no test reaches.
const distantDeadlineMillis = 60_000

func request(r rank.Rank, team string) *ticket.Ticket {
	return &ticket.Ticket{Team: team, Weight: 1, Rank: r, DeadlineMillis: distantDeadlineMillis}
}

// newFullGate returns a gate whose only slot is taken, the ticket that holds
// it, and a function that advances the clock of the gate.
func newFullGate(t *testing.T) (*gate.Gate, *ticket.Ticket, func(float64)) {
	t.Helper()
	c, advance := clock.NewManual(0)
	g := gate.New(c, 1, 0, false)
	first := request(rank.Normal, "a")
	g.Arrive(first)
	assert.Assert(t, first.Started())
	return g, first, advance
}

func TestQueueStartsHigherRankFirstAndCallsOnSettled(t *testing.T) {
	g, first, advance := newFullGate(t)
	low, high := request(rank.Sheddable, "a"), request(rank.Critical, "a")
	calls := 0
	high.OnSettled = func(*ticket.Ticket) { calls++ }
	g.Arrive(low)
	g.Arrive(high)
	advance(5)
	g.Finish(first, true, 0)
	assert.Assert(t, high.Started())
	assert.Assert(t, low.Queued())
	assert.Equal(t, calls, 1)
}

func TestChildCallStartsBeforeNewWork(t *testing.T) {
	g, first, advance := newFullGate(t)
	newWork, child := request(rank.Normal, "a"), request(rank.Sheddable, "a")
	child.Child = true
	g.Arrive(newWork)
	g.Arrive(child)
	advance(5)
	g.Finish(first, true, 0)
	assert.Assert(t, child.Started())
}

func TestFullQueueEvictsLowestRank(t *testing.T) {
	g, _, _ := newFullGate(t)
	sheddable := request(rank.Sheddable, "a")
	g.Arrive(sheddable)
	for range 3 {
		g.Arrive(request(rank.Normal, "a"))
	}
	// minQueueLength is 4, so the queue is full now.
	assert.Assert(t, sheddable.Queued())
	high := request(rank.Critical, "a")
	g.Arrive(high)
	assert.Assert(t, high.Queued())
	assert.Equal(t, sheddable.Refusal().Reason, reason.Overloaded)
}

func TestTeamsShareSlotsByWeight(t *testing.T) {
	g, running, advance := newFullGate(t)
	startsByTeam := map[string]int{}
	add := func(team string, weight float64) {
		added := request(rank.Normal, team)
		added.Weight, added.Child = weight, true
		added.OnSettled = func(settled *ticket.Ticket) {
			startsByTeam[settled.Team]++
			running = settled
		}
		g.Arrive(added)
	}
	for range 2 {
		add("b", 1)
		add("c", 2)
	}
	for range 3 {
		advance(1)
		g.Finish(running, true, 0)
	}
	assert.DeepEqual(t, startsByTeam, map[string]int{"b": 1, "c": 2})
}

func TestTickRefusesTicketsThatMissTheirDeadline(t *testing.T) {
	g, _, advance := newFullGate(t)
	expiring := request(rank.Critical, "a")
	expiring.DeadlineMillis = 20
	g.Arrive(expiring)
	advance(30)
	g.Tick()
	assert.Equal(t, expiring.Refusal().Reason, reason.DeadlineExceeded)
	assert.Equal(t, g.Waiting(), 0)
}

func TestCancelFreesTheSlot(t *testing.T) {
	g, first, _ := newFullGate(t)
	next := request(rank.Normal, "a")
	g.Arrive(next)
	g.Cancel(first)
	assert.Assert(t, next.Started())
	g.Cancel(next)
	assert.Equal(t, g.Running(), 0)
}

func TestLeavingRefusesNewAndQueuedWork(t *testing.T) {
	g, first, _ := newFullGate(t)
	next := request(rank.Critical, "a")
	g.Arrive(next)
	g.SetLeaving()
	assert.Equal(t, next.Refusal().Reason, reason.Leaving)
	assert.Assert(t, first.Started())
	afterLeaving := request(rank.Critical, "a")
	g.Arrive(afterLeaving)
	assert.Equal(t, afterLeaving.Refusal().Reason, reason.Leaving)
}

func TestThresholdFallsUnderOverloadAndRecovers(t *testing.T) {
	c, advance := clock.NewManual(0)
	g := gate.New(c, 4, 0, false)
	var running []*ticket.Ticket
	run := func(arrivals int) {
		for range 100 {
			for range arrivals {
				arrived := request(rank.Normal, "a")
				arrived.OnSettled = func(settled *ticket.Ticket) {
					if settled.Started() {
						running = append(running, settled)
					}
				}
				g.Arrive(arrived)
				if arrived.Started() {
					running = append(running, arrived)
				}
			}
			advance(10)
			ended := running
			running = nil
			for _, done := range ended {
				g.Finish(done, true, 0)
			}
		}
	}
	run(16)
	// Capacity is 4 of 16 requests per 10 ms: 0.25.
	fraction := g.Threshold().AdmittedFraction(rank.Normal)
	assert.Assert(t, fraction > 0.15 && fraction < 0.4, "admitted fraction %v", fraction)
	run(1)
	assert.Equal(t, g.Threshold(), level.Full)
}
