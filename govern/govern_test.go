package govern_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/govern"
	"bergamotloom.example/grade"
	"bergamotloom.example/queue"
	"bergamotloom.example/rank"
	"bergamotloom.example/reason"
	"bergamotloom.example/state"
)

const (
	slots      = 10
	tickMillis = 100
	runMillis  = 50
	seconds    = 20
)

// overload offers a target so many times what it can do, in requests of two
// ranks by turns, for some seconds of a virtual clock, and returns the governor's
// last word. Requests that the threshold refuses don't come.
func overload(demand float64) (state.State, card.Card) {
	c, advance := clock.NewManual(0)
	q := queue.New(c)
	g := govern.New(c, q, slots)
	g.ApplyLimit()
	q.Open()
	grades := []grade.Grade{grade.New(0, false, rank.Critical), grade.New(0, false, rank.Sheddable)}
	ends := map[int64]int{}
	begin := func(r reason.Reason) {
		if r == "" {
			ends[c.Now()+runMillis]++
		}
	}
	s := state.State{Cutoff: govern.New(c, q, slots).Tick().Cutoff}
	offered, let := 0.0, [2]float64{}
	for now := int64(1); now <= seconds*1000; now++ {
		advance(1)
		for range ends[c.Now()] {
			g.RecordServed("browse", false, runMillis)
			q.Release()
		}
		delete(ends, c.Now())
		for offered += demand * slots / runMillis; offered >= 1; offered-- {
			i := int(now) % len(grades)
			let[i] += s.Cutoff.AdmittedFraction(grades[i])
			if let[i] < 1 {
				continue
			}
			let[i]--
			g.RecordArrival(grades[i], "browse")
			if why, waits := q.AcquireAsync(c.Fine(), c.Fine()+1000, begin); !waits {
				begin(why)
			}
		}
		if now%tickMillis == 0 {
			s = g.Tick()
		}
	}
	return s, g.Describe(card.Card{})
}

// At three times what the target can do the threshold lets in what it can, the
// important rank first, and the line stays short.
func TestThresholdHoldsTheLineUnderOverload(t *testing.T) {
	s, told := overload(3)
	assert.Assert(t, s.Running >= slots*8/10, "%+v", s)
	assert.Assert(t, s.QueueDelayMillis < 200, "%+v", s)
	assert.Assert(t, s.Cutoff.AdmittedFraction(grade.New(0, false, rank.Critical)) > s.Cutoff.AdmittedFraction(grade.New(0, false, rank.Sheddable)), "%+v", s)
	assert.Equal(t, told.Cutoff, float32(s.Cutoff.Grades))
	assert.Equal(t, told.Limit, slots)
	assert.Equal(t, len(told.Uses), 1)
}

func TestCalmTargetTakesEverything(t *testing.T) {
	s, _ := overload(0.5)
	assert.Assert(t, s.Cutoff.IsFull(), "%+v", s)
	assert.Equal(t, s.Waiting, 0)
}

// Failing runs show on the card, until the target starts anew.
func TestFailingRunsAreToldUntilARestart(t *testing.T) {
	c, _ := clock.NewManual(0)
	g := govern.New(c, queue.New(c), slots)
	for range 50 {
		g.RecordFailed(runMillis)
	}
	assert.Assert(t, g.Describe(card.Card{}).Failing > 0.9)
	g.Restart(2 * slots)
	assert.Equal(t, g.Describe(card.Card{}).Failing, float32(0))
	assert.Equal(t, g.Slots(), 2*slots)
}
