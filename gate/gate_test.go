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

const farMillis = 60_000

func request(r rank.Rank, team string) *ticket.Ticket {
	return &ticket.Ticket{Team: team, Weight: 1, Rank: r, DeadlineMillis: farMillis}
}

// fill returns a gate whose one slot is taken, the ticket in it, and what
// moves its clock.
func fill(t *testing.T) (*gate.Gate, *ticket.Ticket, func(float64)) {
	t.Helper()
	c, advance := clock.NewManual(0)
	g := gate.New(c, 1, 0, false)
	first := request(rank.Normal, "a")
	g.Arrive(first)
	assert.Assert(t, first.Started())
	return g, first, advance
}

func TestQueueGoesByRankAndTellsTheOwner(t *testing.T) {
	g, first, advance := fill(t)
	low, high := request(rank.Sheddable, "a"), request(rank.Critical, "a")
	told := 0
	high.OnSettled = func(*ticket.Ticket) { told++ }
	g.Arrive(low)
	g.Arrive(high)
	advance(5)
	g.Finish(first, true, 0)
	assert.Assert(t, high.Started())
	assert.Assert(t, low.Queued())
	assert.Equal(t, told, 1)
}

func TestChildGoesBeforeNewWorkOfItsRank(t *testing.T) {
	g, first, advance := fill(t)
	work, child := request(rank.Normal, "a"), request(rank.Sheddable, "a")
	child.Child = true
	g.Arrive(work)
	g.Arrive(child)
	advance(5)
	g.Finish(first, true, 0)
	assert.Assert(t, child.Started())
}

func TestFullQueueRefusesWhatMattersLeast(t *testing.T) {
	g, _, _ := fill(t)
	last := request(rank.Sheddable, "a")
	g.Arrive(last)
	for range 3 {
		g.Arrive(request(rank.Normal, "a"))
	}
	assert.Assert(t, last.Queued())
	high := request(rank.Critical, "a")
	g.Arrive(high)
	assert.Assert(t, high.Queued())
	assert.Equal(t, last.Refusal().Reason, reason.Overloaded)
}

func TestTeamsTakeTurnsByWeight(t *testing.T) {
	g, slot, advance := fill(t)
	turns := map[string]int{}
	add := func(team string, weight float64) {
		w := request(rank.Normal, team)
		w.Weight, w.Child = weight, true
		w.OnSettled = func(w *ticket.Ticket) {
			turns[w.Team]++
			slot = w
		}
		g.Arrive(w)
	}
	for range 2 {
		add("b", 1)
		add("c", 2)
	}
	for range 3 {
		advance(1)
		g.Finish(slot, true, 0)
	}
	assert.DeepEqual(t, turns, map[string]int{"b": 1, "c": 2})
}

func TestTickRefusesWhatCannotMakeItsDeadline(t *testing.T) {
	g, _, advance := fill(t)
	late := request(rank.Critical, "a")
	late.DeadlineMillis = 20
	g.Arrive(late)
	advance(30)
	g.Tick()
	assert.Equal(t, late.Refusal().Reason, reason.DeadlineExceeded)
	assert.Equal(t, g.Waiting(), 0)
}

func TestCancelFreesTheSlot(t *testing.T) {
	g, first, _ := fill(t)
	next := request(rank.Normal, "a")
	g.Arrive(next)
	g.Cancel(first)
	assert.Assert(t, next.Started())
	g.Cancel(next)
	assert.Equal(t, g.Running(), 0)
}

func TestLeavingRefusesNewAndQueuedWork(t *testing.T) {
	g, first, _ := fill(t)
	next := request(rank.Critical, "a")
	g.Arrive(next)
	g.SetLeaving()
	assert.Equal(t, next.Refusal().Reason, reason.Leaving)
	assert.Assert(t, first.Started())
	late := request(rank.Critical, "a")
	g.Arrive(late)
	assert.Equal(t, late.Refusal().Reason, reason.Leaving)
}

func TestThresholdFallsUnderOverloadAndOpensAgain(t *testing.T) {
	c, advance := clock.NewManual(0)
	g := gate.New(c, 4, 0, false)
	var running []*ticket.Ticket
	run := func(arrivals int) {
		for range 100 {
			for range arrivals {
				w := request(rank.Normal, "a")
				w.OnSettled = func(w *ticket.Ticket) {
					if w.Started() {
						running = append(running, w)
					}
				}
				g.Arrive(w)
				if w.Started() {
					running = append(running, w)
				}
			}
			advance(10)
			done := running
			running = nil
			for _, w := range done {
				g.Finish(w, true, 0)
			}
		}
	}
	run(16)
	share := g.Threshold().Share(rank.Normal)
	assert.Assert(t, share > 0.15 && share < 0.4, "share %v", share)
	run(1)
	assert.Equal(t, g.Threshold(), level.Full)
}
